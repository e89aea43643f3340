// Package listen implements an HTTP server of a node: listener, limits and graceful
// shutdown.
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
	defaultHeaderTimeout  = 5 * sardine.Second
	defaultIdleTimeout    = 60 * sardine.Second
	defaultHeaderBytes    = 16 << 10
	defaultMaxConnections = 10000
)

// Limits of an HTTP/2 connection. Bytes of a request body that its handler has not read
// are held in memory, at most these.
const (
	maxStreams        = 100
	maxUnreadBytes    = 64 << 10
	maxFrameReadBytes = 16 << 10
)

// Server is an HTTP server on one address.
type Server struct {
	http           *http.Server
	listener       net.Listener
	conns          *conns
	tls            *tls.Config
	maxConnections int
}

// Option sets a property of a Server.
type Option func(*Server)

// WithTimeouts limits the time for reading a request's header and the idle time of
// a connection. The defaults are 5 s and 60 s.
func WithTimeouts(header, idle sardine.Millis) Option {
	return func(s *Server) {
		s.http.ReadHeaderTimeout = header.Duration()
		s.http.IdleTimeout = idle.Duration()
	}
}

// WithHeaderBytes limits the size of a request's header. The default is 16 KiB.
func WithHeaderBytes(n int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = n }
}

// WithConnections limits the number of open connections. Further connections wait in
// the operating system's queue. The default is 10000.
func WithConnections(n int) Option {
	return func(s *Server) { s.maxConnections = n }
}

// WithTLS makes the server use TLS with the configuration, or no TLS if it is nil.
func WithTLS(c *tls.Config) Option {
	return func(s *Server) { s.tls = c }
}

// New listens on address, in the form host:port, and returns a server for HTTP/1.1
// and HTTP/2, also without TLS. Connections are accepted once Serve is called.
// Errors carry codes.BadSettings.
func New(address string, options ...Option) (*Server, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			ReadHeaderTimeout: defaultHeaderTimeout.Duration(),
			IdleTimeout:       defaultIdleTimeout.Duration(),
			MaxHeaderBytes:    defaultHeaderBytes,
			Protocols:         protocols,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams:          maxStreams,
				MaxReceiveBufferPerConnection: maxUnreadBytes,
				MaxReceiveBufferPerStream:     maxUnreadBytes,
				MaxReadFrameSize:              maxFrameReadBytes,
			},
			ErrorLog: discardLog(),
		},
		conns:          newConns(),
		maxConnections: defaultMaxConnections,
	}
	s.http.ConnContext, s.http.ConnState = withConn, s.conns.changed
	for _, o := range options {
		o(s)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "can't listen on "+address)
	}
	s.listener = limitConnections(listener, s.maxConnections)
	if s.tls != nil {
		s.listener = tls.NewListener(s.listener, s.tls)
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve passes requests to handler. It blocks until Shutdown or Close, after which it
// returns nil.
func (s *Server) Serve(handler http.Handler) error {
	s.http.Handler = s.conns.closeAfterAnswer(resetAborted(handler))
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.conns.isClosing() {
		return nil
	}
	return codes.Wrap(codes.Internal, err, "HTTP server failed")
}

// Shutdown closes the listener and waits until no request is in flight or ctx is
// done. Each request that was read is answered.
func (s *Server) Shutdown(ctx context.Context) error {
	s.conns.beginClosing()
	if err := ignoreClosed(s.listener.Close()); err != nil {
		return err
	}
	if err := s.conns.close(ctx); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), ignoreClosed(s.listener.Close()))
}

// ignoreClosed returns nil for the error of a listener that was closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
