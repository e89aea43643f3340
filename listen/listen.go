// Package listen runs one HTTP server of a node: its listener, its limits and
// its graceful end.
package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Defaults of a server's limits.
const (
	defaultHeader      = 5 * sardine.Second
	defaultIdle        = 60 * sardine.Second
	defaultHeaderBytes = 16 << 10
	defaultConnections = 10000
)

// Server is one HTTP server on one address.
type Server struct {
	http        *http.Server
	listener    net.Listener
	tls         *tls.Config
	connections int
}

// Option sets a property of a Server.
type Option func(*Server)

// WithTimeouts bounds the time for a request's header and the idle time of a
// connection.
func WithTimeouts(header, idle sardine.Millis) Option {
	return func(s *Server) {
		s.http.ReadHeaderTimeout = header.Duration()
		s.http.IdleTimeout = idle.Duration()
	}
}

// WithHeaderBytes bounds a request's header.
func WithHeaderBytes(n int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = n }
}

// WithConnections bounds the open connections. Further ones wait in the
// operating system's queue.
func WithConnections(n int) Option {
	return func(s *Server) { s.connections = n }
}

// WithTLS serves TLS with the configuration; nil serves without.
func WithTLS(c *tls.Config) Option {
	return func(s *Server) { s.tls = c }
}

// New listens on address, host:port, and returns a server that does not serve
// yet. It speaks HTTP/1.1 and HTTP/2, also without TLS.
func New(address string, options ...Option) (*Server, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			ReadHeaderTimeout: defaultHeader.Duration(),
			IdleTimeout:       defaultIdle.Duration(),
			MaxHeaderBytes:    defaultHeaderBytes,
			Protocols:         protocols,
			ErrorLog:          discardLog(),
		},
		connections: defaultConnections,
	}
	s.http.ConnContext = withConn
	for _, o := range options {
		o(s)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "can't listen on "+address)
	}
	s.listener = limitConnections(listener, s.connections)
	if s.tls != nil {
		s.listener = tls.NewListener(s.listener, s.tls)
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve answers requests by handler until Shutdown or Close. It is the body of a
// duty.
func (s *Server) Serve(handler http.Handler) error {
	s.http.Handler = resetAborted(handler)
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return codes.Wrap(codes.Internal, err, "HTTP server ended")
}

// Shutdown closes the listener and waits until no request is under way or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close ends the server and all its connections at once.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), ignoreClosed(s.listener.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
