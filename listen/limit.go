package listen

import (
	"io"
	"log"
	"net"
	"sync"
)

// discardLog returns a logger that discards the lines of net/http about broken
// connections, which have no event numbers. Handlers log the failures of requests.
func discardLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}

// limitedListener accepts no connection while the maximum number is open.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: l,
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
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close closes the listener and unblocks an Accept that waits for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that frees its slot of a limitedListener when closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and, the first time, frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
