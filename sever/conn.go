package sever

import (
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// conn is a connection through a link.
type conn struct {
	net.Conn
	link    *Link
	address string

	mu       sync.Mutex
	held     []byte // read from the socket and not delivered yet
	heldErr  error  // what the socket returned after held
	pending  []byte // written and not sent yet
	deadline time.Time
	broken   error // nil while the connection works
	closed   bool
}

// NetConn returns the connection under this one.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// SetDeadline sets the deadline of waits on the link too.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// modeChanged applies the link's mode to the connection.
func (c *conn) modeChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.link.mode(c.address) {
	case Reset:
		c.breakOff(syscall.ECONNRESET)
	case Up, Refuse:
		c.flush()
	case Silent:
	}
}

// breakOff ends the connection with an error on this side and a reset on the target's.
// The caller holds the lock.
func (c *conn) breakOff(err error) {
	if c.broken == nil {
		c.broken, c.pending = err, nil
	}
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.closeSocket()
}

// flush sends what was written while the link was silent, then closes the socket if the
// connection was closed meanwhile. The caller holds the lock.
func (c *conn) flush() {
	if len(c.pending) > 0 {
		_ = c.Conn.SetWriteDeadline(time.Time{}) // it was for the write that has returned
		_, _ = c.Conn.Write(c.pending)           // on an error the next read fails
		_ = c.Conn.SetWriteDeadline(c.deadline)
		c.pending = nil
	}
	if c.closed {
		c.closeSocket()
	}
}

// closeSocket closes the socket. The caller holds the lock.
func (c *conn) closeSocket() {
	_ = c.Conn.Close() // it may be closed already
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
}

// Read returns only what the link delivers.
func (c *conn) Read(p []byte) (int, error) {
	if n, done, err := c.deliver(p); done {
		return n, err
	}
	buffer := make([]byte, len(p))
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	c.held, c.heldErr = buffer[:n], err
	c.mu.Unlock()
	for {
		if n, done, err := c.deliver(p); done {
			return n, err
		}
		time.Sleep(pollInterval)
	}
}

// deliver returns bytes that were read before, or why there will be none. Without done,
// the caller has to wait.
func (c *conn) deliver(p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken != nil:
		return 0, true, c.failure("read", c.broken)
	case c.closed:
		return 0, true, net.ErrClosed
	case len(c.held) == 0 && c.heldErr == nil:
		return 0, false, nil
	case c.link.mode(c.address) != Silent || len(c.held) == 0 && os.IsTimeout(c.heldErr):
		n = copy(p, c.held)
		c.held = slices.Clone(c.held[n:])
		if len(c.held) == 0 {
			err, c.heldErr = c.heldErr, nil
		}
		return n, true, err
	case !c.deadline.IsZero() && time.Now().After(c.deadline):
		return 0, true, c.failure("read", os.ErrDeadlineExceeded)
	default:
		return 0, false, nil
	}
}

func (c *conn) failure(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Err: err}
}

// Write sends bytes, or keeps them while the link is silent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken != nil:
		return 0, c.failure("write", c.broken)
	case c.closed:
		return 0, net.ErrClosed
	case c.link.mode(c.address) != Silent && len(c.pending) == 0:
		return c.Conn.Write(p)
	case len(c.pending) == 0:
		time.AfterFunc(ackTimeout, c.expire)
	}
	c.pending = append(c.pending, p...)
	return len(p), nil
}

// expire breaks the connection if the link is silent and bytes wait for it.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		c.breakOff(syscall.ETIMEDOUT)
	}
}

// Close closes the connection. While the link is silent, the target does not see it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.link.mode(c.address) != Silent {
		c.closeSocket()
		return nil
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the read in progress
	return nil
}
