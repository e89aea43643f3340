package listen

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"sardineswitch.dev/sardine/upload"
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
	headerBytes int64 // the largest header
	mu          sync.Mutex
	closing     bool
	patient     bool // a header under way may end, if its bytes are counted
	all         map[net.Conn]*tracked
}

// tracked is an open connection.
type tracked struct {
	state       http.ConnState
	since       time.Time
	interrupted bool // its reads fail
	multiplexed bool // HTTP/2, which net/http shuts down
}

func newConns(headerBytes int) *conns {
	return &conns{headerBytes: int64(headerBytes), all: make(map[net.Conn]*tracked)}
}

// changed is the http.Server's ConnState hook. It runs before the handler.
func (c *conns) changed(conn net.Conn, state http.ConnState) {
	if limited := limitedOf(conn); limited != nil && limited.head != nil {
		c.followHeader(conn, limited.head, state)
	}
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

// followHeader tells the memory of a connection's header when one begins, and when its
// request's handler takes over. An HTTP/2 connection holds the memory of one header as long
// as it is open, since its bytes don't tell how large the header becomes.
func (c *conns) followHeader(conn net.Conn, h *upload.Head, state http.ConnState) {
	http2 := http2HeaderFactor * c.headerBytes
	switch {
	case isHTTP2(conn):
		if state == http.StateActive && !h.Hold(http2) {
			_ = conn.Close()
		}
	case state == http.StateNew || state == http.StateIdle:
		h.Begin(http2)
	case state == http.StateActive:
		h.End()
	}
}

// http2HeaderFactor is the memory of the header of an HTTP/2 connection, relative to the
// largest header.
const http2HeaderFactor = 2

// isHTTP2 reports whether a connection was negotiated as HTTP/2.
func isHTTP2(conn net.Conn) bool {
	t, isTLS := conn.(*tls.Conn)
	return isTLS && t.ConnectionState().NegotiatedProtocol == "h2"
}

// multiplex records that a connection carries several requests at a time.
func (c *conns) multiplex(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.all[conn]; t != nil {
		t.multiplexed = true
	}
}

// beginRetiring is beginClosing, and close then lets headers under way end.
func (c *conns) beginRetiring() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.patient = true, true
}

// beginClosing makes each answer from now on the last one on its connection.
func (c *conns) beginClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.patient = true, false
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

// isEmpty reports whether no connection is left but those that net/http shuts down.
func (c *conns) isEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.all {
		if !t.multiplexed {
			return false
		}
	}
	return true
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
		if c.patient && receivesHeader(conn) {
			continue // its time limit closes it
		}
		if t.state == http.StateActive || t.state == http.StateNew && time.Since(t.since) < firstRequestTime {
			continue
		}
		t.interrupted = true
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // again in each round: net/http sets deadlines of its own
	}
	return !left
}

// receivesHeader reports whether a part of a request's header has come.
func receivesHeader(conn net.Conn) bool {
	limited := limitedOf(conn)
	return limited != nil && limited.head != nil && limited.head.Receiving()
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
