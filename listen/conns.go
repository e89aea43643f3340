package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// closeInterval is the time between two rounds in which a shutdown closes idle
	// connections.
	closeInterval = 20 * time.Millisecond
	// firstRequestTime is how long a shutdown waits for the first request of a new
	// connection, which is probably on its way.
	firstRequestTime = time.Second
)

// conns tracks the open connections, so that a shutdown closes only those without a
// request. It makes a read fail instead of closing: a request that has been read
// already, but not passed to the handler yet, is answered. net/http drops it.
type conns struct {
	mu      sync.Mutex
	closing bool
	all     map[net.Conn]*tracked
}

// tracked is an open connection.
type tracked struct {
	state       http.ConnState
	since       time.Time
	interrupted bool // its reads fail
	multiplexed bool // HTTP/2, which net/http shuts down
}

func newConns() *conns {
	return &conns{all: make(map[net.Conn]*tracked)}
}

// changed is the http.Server's ConnState hook. It runs before the handler.
func (c *conns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.all[conn]
	switch {
	case state == http.StateNew:
		c.all[conn] = &tracked{state: state, since: time.Now()}
	case t == nil: // HTTP/2 reports another net.Conn
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.all, conn)
	default:
		if t.interrupted && state == http.StateActive {
			t.interrupted = false
			_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
		}
		t.state = state
	}
}

// multiplex records that a connection carries several requests at a time.
func (c *conns) multiplex(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.all[conn]; t != nil {
		t.multiplexed = true
	}
}

// beginClosing makes each answer from now on the last one on its connection.
func (c *conns) beginClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

func (c *conns) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// close closes the connections as soon as they have no request, until none is left or
// ctx is done.
func (c *conns) close(ctx context.Context) error {
	tick := time.NewTicker(closeInterval)
	defer tick.Stop()
	for !c.interruptIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// interruptIdle makes the reads of connections without a request fail. It reports
// whether no connection is left.
func (c *conns) interruptIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := false
	for conn, t := range c.all {
		if t.multiplexed {
			continue
		}
		left = true
		if t.state == http.StateActive || t.state == http.StateNew && time.Since(t.since) < firstRequestTime {
			continue
		}
		t.interrupted = true
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // again in each round: net/http sets deadlines of its own
	}
	return !left
}

// closeAfterAnswer tells clients of a server that is shutting down to use another
// connection.
func (c *conns) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, _ := r.Context().Value(connKey{}).(net.Conn); r.ProtoMajor > 1 && conn != nil {
			c.multiplex(conn)
		}
		if c.isClosing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
