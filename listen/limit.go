package listen

import (
	"io"
	"log"
	"net"
	"sync"
)

// discardLog keeps net/http's own lines about broken connections out of the
// numbered log. Handlers log what concerns a request.
func discardLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}

// limitedListener accepts no connection while the limit is reached.
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

// Accept waits for a free slot and then for a connection.
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

// Close ends the listener and those who wait for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
