package cut

import (
	"net"
	"sync"
	"syscall"
)

// conn is a connection whose two directions follow the modes of the network.
type conn struct {
	net.Conn
	network *Network
	from    string
	to      string

	mu        sync.Mutex
	pending   [][]byte // written but not delivered yet
	flushing  bool
	done      chan struct{} // closed by Close
	closeOnce sync.Once
}

func newConn(c net.Conn, n *Network, from, to string) *conn {
	return &conn{Conn: c, network: n, from: from, to: to, done: make(chan struct{})}
}

// Read reads from the connection, but returns only when the direction is no
// longer withheld or the connection is closed here.
func (c *conn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	switch c.network.waitWhileWithheld(c.to, c.from, c.done) {
	case Reset:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case Withhold:
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write sends the bytes. While the direction is withheld it queues them and reports
// success, as a write into a socket buffer does.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	mode, _ := c.network.mode(c.from, c.to)
	switch {
	case mode == Reset:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case mode == Withhold || c.flushing:
		c.enqueue(append([]byte(nil), p...))
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// enqueue queues bytes until the direction is no longer withheld. The caller holds
// the lock.
func (c *conn) enqueue(p []byte) {
	c.pending = append(c.pending, p)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// flush waits until the direction is no longer withheld, then delivers the queued
// bytes, or drops them if the direction is now reset.
func (c *conn) flush() {
	mode := c.network.waitWhileWithheld(c.from, c.to, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if mode == Deliver {
			_, _ = c.Conn.Write(p) // on an error the reader sees a broken connection
		}
	}
	c.pending = nil
	c.flushing = false
	select {
	case <-c.done:
		_ = c.Conn.Close() // Close has already returned without an error
	default:
	}
}

// Close closes the connection. The other side sees this only when the direction
// is no longer withheld and the queued bytes are delivered.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.done)
		c.mu.Lock()
		defer c.mu.Unlock()
		if mode, _ := c.network.mode(c.from, c.to); mode == Withhold || c.flushing {
			c.enqueue(nil)
			return
		}
		_ = c.Conn.Close() // the connection is no longer used
	})
	return nil
}
