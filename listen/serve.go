package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"sardineswitch.dev/sardine/codes"
)

// Serve passes requests to handler. It blocks until Shutdown or Close, after which it
// returns nil.
func (s *Server) Serve(handler http.Handler) error {
	if !s.begin(handler) {
		return nil
	}
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.pass(c)
		case errors.Is(err, net.ErrClosed):
			return s.failed()
		default:
			time.Sleep(acceptPause)
		}
	}
}

// begin starts the first generation. It returns false after Shutdown or Close.
func (s *Server) begin(handler http.Handler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
	if s.closing {
		return false
	}
	s.startGeneration()
	return true
}

// startGeneration makes a generation with the present limits the current one. The caller
// holds mu.
func (s *Server) startGeneration() {
	g := newGeneration(s.limits, s.handler, s.listener.Addr())
	s.current = g
	s.generations[g] = struct{}{}
	go func() {
		if err := g.http.Serve(g); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.fail(codes.Wrap(codes.Internal, err, "HTTP server failed"))
		}
	}()
}

// fail ends Serve with an error.
func (s *Server) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = errors.Join(s.failure, err)
	_ = s.listener.Close() // Serve returns the failure
}

func (s *Server) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// pass hands a new connection to the current generation. It is closed if there is none any
// more.
func (s *Server) pass(c net.Conn) {
	for {
		s.mu.Lock()
		g, closing := s.current, s.closing
		s.mu.Unlock()
		if g.pass(c) {
			return
		}
		if closing {
			_ = c.Close() // nothing was read from it
			return
		}
	}
}

// SetLimits sets the limits for new connections. Those under other limits end with their next
// answer. If the new limits allow larger or slower headers, those without a request are closed
// after retireTime, as their own limits could refuse it. A request that has begun keeps its
// limits, if a head budget is set also while its header comes.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == l || s.closing {
		return
	}
	s.limits = l
	old := s.current
	if old == nil {
		return
	}
	for g := range s.generations {
		g.compare(l)
	}
	s.startGeneration()
	go func() {
		old.retire()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.generations, old)
	}()
}

// beginClosing accepts no more connections and returns all generations.
func (s *Server) beginClosing() ([]*generation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	var all []*generation
	for g := range s.generations {
		g.conns.beginClosing()
		all = append(all, g)
	}
	return all, ignoreClosed(s.listener.Close())
}

// Shutdown closes the listener and waits until no request is in flight or ctx is
// done. Each request that was read is answered.
func (s *Server) Shutdown(ctx context.Context) error {
	all, err := s.beginClosing()
	for _, g := range all {
		err = errors.Join(err, g.shutdown(ctx))
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	all, err := s.beginClosing()
	for _, g := range all {
		err = errors.Join(err, g.http.Close(), g.Close())
	}
	return err
}

// ignoreClosed returns nil for the error of a listener that was closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
