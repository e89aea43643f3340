// Package listen implements an HTTP server of a node: listener, limits and graceful
// shutdown.
package listen

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/upload"
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

// acceptPause is the time until the next try to accept a connection after a failure, such
// as a lack of descriptors.
const acceptPause = 50 * time.Millisecond

// Server is an HTTP server on one address.
type Server struct {
	listener       net.Listener
	tls            *tls.Config
	maxConnections int
	heads          *upload.Budget // nil for no bound on the memory of all headers

	mu          sync.Mutex
	limits      Limits
	handler     http.Handler // nil before Serve
	current     *generation  // nil before Serve
	generations map[*generation]struct{}
	closing     bool
	failure     error // of a generation
}

// Option sets a property of a Server.
type Option func(*Server)

// WithLimits sets the first limits. The defaults are 16 KiB, 5 s and 60 s.
func WithLimits(l Limits) Option {
	return func(s *Server) { s.limits = l }
}

// WithHeaderBytes limits the size of a request's header. The default is 16 KiB.
func WithHeaderBytes(n int) Option {
	return func(s *Server) { s.limits.HeaderBytes = n }
}

// WithHeadBudget charges headers to a budget until their handlers begin. A connection
// whose header does not fit is closed.
func WithHeadBudget(b *upload.Budget) Option {
	return func(s *Server) { s.heads = b }
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
	s := &Server{
		limits:         Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout},
		maxConnections: defaultMaxConnections,
		generations:    make(map[*generation]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "can't listen on "+address)
	}
	s.listener = limitConnections(listener, s.maxConnections, s.heads)
	if s.tls != nil {
		s.listener = tls.NewListener(s.listener, s.tls)
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}
