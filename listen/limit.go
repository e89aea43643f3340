package listen

import (
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"

	"sardineswitch.dev/sardine/upload"
)

// discardLog returns a logger that discards the lines of net/http about broken
// connections, which have no event numbers. Handlers log the failures of requests.
func discardLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}

// limitedListener accepts no connection while the maximum number is open.
type limitedListener struct {
	net.Listener
	heads  *upload.Budget // nil for no bound on the memory of headers
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, limit int, heads *upload.Budget) net.Listener {
	return &limitedListener{
		Listener: l,
		heads:    heads,
		slots:    make(chan struct{}, max(limit, 1)),
		closed:   make(chan struct{}),
	}
}

// Accept waits until a slot is free and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	limited := &limitedConn{Conn: c, release: func() { <-l.slots }}
	if l.heads != nil {
		limited.head = l.heads.NewHead()
	}
	return limited, nil
}

// Close closes the listener and unblocks an Accept that waits for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that frees its slot of a limitedListener when closed, and that
// ends when there is no memory for the header that it receives.
type limitedConn struct {
	net.Conn
	head    *upload.Head // nil for no bound
	refused atomic.Bool  // there was no memory for a header
	once    sync.Once
	release func()
}

// errHeaderMemory ends a connection. net/http answers nothing to a failed read of this type,
// so the client may send its request again.
var errHeaderMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory for the header of a request")}

// Read reads bytes and charges those of a header.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errHeaderMemory
	}
	n, err := c.Conn.Read(p)
	if c.head != nil && n > 0 && !c.head.Receive(p[:n]) {
		c.refused.Store(true) // what was read is lost
		return 0, errHeaderMemory
	}
	return n, err
}

// CloseWrite ends the answers of the connection. net/http calls it after a refusal, so that the
// client gets that before the rest of its request is rejected.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// limitedOf returns the limitedConn below a connection, or nil.
func limitedOf(c net.Conn) *limitedConn {
	if t, isTLS := c.(*tls.Conn); isTLS {
		c = t.NetConn()
	}
	limited, _ := c.(*limitedConn)
	return limited
}

// Close closes the connection and, the first time, frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		if c.head != nil {
			c.head.End()
		}
		c.release()
	})
	return err
}
