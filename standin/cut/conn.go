package cut

import (
	"net"
	"sync"
	"syscall"
)

// conn is a connection whose two directions can be cut.
type conn struct {
	net.Conn
	net  *Net
	from string
	to   string

	mu       sync.Mutex
	held     [][]byte // written and not delivered
	flushing bool
	over     chan struct{} // closed by Close
	once     sync.Once
}

func newConn(c net.Conn, n *Net, from, to string) *conn {
	return &conn{Conn: c, net: n, from: from, to: to, over: make(chan struct{})}
}

// Read returns what came, or the error, once the direction passes.
func (c *conn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	switch c.net.await(c.to, c.from, c.over) {
	case Refuse:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case Silent:
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write sends, or holds what can't be delivered and says that it was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.over:
		return 0, net.ErrClosed
	default:
	}
	mode, _ := c.net.mode(c.from, c.to)
	switch {
	case mode == Refuse:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case mode == Silent || c.flushing:
		c.hold(append([]byte(nil), p...))
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// hold keeps bytes until the direction passes. The lock is held.
func (c *conn) hold(p []byte) {
	c.held = append(c.held, p)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// flush waits until the direction passes and delivers what is held.
func (c *conn) flush() {
	mode := c.net.await(c.from, c.to, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.held {
		if mode == Pass {
			_, _ = c.Conn.Write(p) // the reader sees a broken connection
		}
	}
	c.held = nil
	c.flushing = false
	select {
	case <-c.over:
		_ = c.Conn.Close() // Close has answered
	default:
	}
}

// Close ends the connection. The other side learns of it once the direction
// passes.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.over)
		c.mu.Lock()
		defer c.mu.Unlock()
		if mode, _ := c.net.mode(c.from, c.to); mode == Silent || c.flushing {
			c.hold(nil)
			return
		}
		_ = c.Conn.Close() // as lost as the connection
	})
	return nil
}
