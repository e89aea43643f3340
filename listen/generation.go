package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// Limits bounds the headers of requests, and how long a connection may be without one.
type Limits struct {
	HeaderBytes   int            // of one request; net/http takes up to 4 KiB more
	HeaderTimeout sardine.Millis // from the start of a request, or of its connection, to the end of the header
	IdleTimeout   sardine.Millis // of a connection between two requests
}

// generation serves the connections that were accepted under the same limits, since
// net/http can't change those of a server that runs. It is the listener of its own
// http.Server.
type generation struct {
	http     *http.Server
	limits   Limits
	conns    *conns
	narrow   atomic.Bool // its limits could refuse what later ones allow
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	address  net.Addr
}

func newGeneration(l Limits, handler http.Handler, address net.Addr) *generation {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	g := &generation{
		http: &http.Server{
			ReadHeaderTimeout: l.HeaderTimeout.Duration(),
			IdleTimeout:       l.IdleTimeout.Duration(),
			MaxHeaderBytes:    l.HeaderBytes,
			Protocols:         protocols,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams:          maxStreams,
				MaxReceiveBufferPerConnection: maxUnreadBytes,
				MaxReceiveBufferPerStream:     maxUnreadBytes,
				MaxReadFrameSize:              maxFrameReadBytes,
			},
			ConnContext: withConn,
			ErrorLog:    discardLog(),
		},
		limits:   l,
		conns:    newConns(l.HeaderBytes),
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
		address:  address,
	}
	g.http.ConnState = g.conns.changed
	g.http.Handler = g.conns.closeAfterAnswer(resetAborted(handler))
	return g
}

// pass hands a new connection over. It returns false if the generation takes no more.
func (g *generation) pass(c net.Conn) bool {
	select {
	case g.accepted <- c:
		return true
	case <-g.closed:
		return false
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.accepted:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections stay.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr {
	return g.address
}

// Times of a generation that is replaced.
const (
	// retireTime is how long its connections stay open for one more request, whose answer
	// tells the client to use another one.
	retireTime = time.Second
	// retirePoll is the time between two looks for open connections after that.
	retirePoll = time.Second
)

// compare records whether the limits could refuse a request that others allow.
func (g *generation) compare(l Limits) {
	if l.HeaderBytes > g.limits.HeaderBytes || l.HeaderTimeout > g.limits.HeaderTimeout {
		g.narrow.Store(true)
	}
}

// retire takes no more connections. Each open one ends with its next answer, or by its own
// limits. If these are narrow, connections without a request are closed after retireTime.
func (g *generation) retire() {
	g.conns.beginRetiring()
	_ = g.Close() // never fails
	time.Sleep(retireTime)
	for !g.narrow.Load() && !g.conns.isEmpty() {
		time.Sleep(retirePoll)
	}
	_ = g.end(context.Background()) // ends with the connections
}

// shutdown takes no more connections and closes each open one as soon as it has no
// request, until none is left or ctx is done.
func (g *generation) shutdown(ctx context.Context) error {
	g.conns.beginClosing()
	return g.end(ctx)
}

func (g *generation) end(ctx context.Context) error {
	_ = g.Close() // never fails
	if err := g.conns.close(ctx); err != nil {
		return err
	}
	return g.http.Shutdown(ctx)
}
