// Package pool pools connections to targets and performs single HTTP/1.1 exchanges
// on them. Unlike http.Transport it never sends a request twice, and it reports
// whether any byte of a request may have been sent.
package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/answer"
	"sardineswitch.dev/sardine/codes"
)

// Limits of connections.
const (
	// dialTimeout limits the time for connecting. A reachable target of the site
	// accepts a connection within some milliseconds.
	dialTimeout = 400 * sardine.Millis(1)
	// ackTimeout is the time after which unacknowledged bytes break a connection. It
	// detects a target that became unreachable without closing the connection.
	ackTimeout = 5 * sardine.Second
	// maxIdleTime is the longest time that an idle connection is kept.
	maxIdleTime = 4 * sardine.Second
	// targetIdleShare is the share of a target's own idle timeout after which a
	// connection is closed, so that the target does not close it while a request is
	// on the way.
	targetIdleShare = 0.5
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 8
	// maxRefused limits the refusals that are recorded for one connection. A
	// connection that reaches the limit is closed after its exchange.
	maxRefused = 64
)

// ErrLimit means that the limit of open connections to a target is reached.
var ErrLimit = errors.New("all are in use")

// Pool holds the connections of one entry node to targets. It is safe for concurrent
// use.
type Pool struct {
	clock sardine.Clock
	dial  sardine.Dial

	mu    sync.Mutex
	idle  map[string][]*Conn // by address, the last used one at the end
	open  map[string]int     // number of open connections by address
	limit map[string]int     // maximum of open connections by address, 0 for none
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDial sets the dial function. A connection that wraps another one should return
// that one from a method NetConn, as tls.Conn does, so that the pool reaches its socket.
func WithDial(d sardine.Dial) Option {
	return func(p *Pool) { p.dial = d }
}

// New returns a pool without connections.
func New(clock sardine.Clock, options ...Option) *Pool {
	p := &Pool{
		clock: clock,
		dial:  (&net.Dialer{KeepAlive: -1}).DialContext,
		idle:  make(map[string][]*Conn),
		open:  make(map[string]int),
		limit: make(map[string]int),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// dialTCP connects to an address and limits the time for acknowledgements.
func (p *Pool) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := socket(raw).(*net.TCPConn); ok {
		setAckTimeout(tcp)
	}
	return raw, nil
}

// socket returns the connection under all that wrap it.
func socket(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// setAckTimeout sets the time after which the kernel closes a connection with
// unacknowledged bytes. On a kernel without the option only the deadlines of each
// exchange apply.
func setAckTimeout(tcp *net.TCPConn) {
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout)) // in milliseconds
	})
}

// Now returns the time of the pool's clock.
func (p *Pool) Now() sardine.Millis {
	return p.clock.Now()
}

// SetLimit sets the maximum of open connections to a target, 0 for no limit.
func (p *Pool) SetLimit(address string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit[address] = limit
}

// Get returns an idle connection to a target for the request with a name, or a new
// connection. Errors carry codes.NoTarget and mean that nothing was sent.
func (p *Pool) Get(ctx context.Context, address, name string) (*Conn, error) {
	for {
		c := p.takeIdle(address, name)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes and returns the last used idle connection to a target, nil if there
// is none. Connections on which the target has refused the same request are skipped,
// since the target may send that refusal a second time.
func (p *Pool) takeIdle(address, name string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, c := range slices.Backward(idle) {
		if !slices.Contains(c.refused, name) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// connect opens a connection to a target unless the limit is reached.
func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	if limit := p.limit[address]; limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, codes.Wrap(codes.NoTarget, ErrLimit, fmt.Sprintf("%d connections to target %s", limit, address))
	}
	p.open[address]++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	raw, err := p.dialTCP(ctx, address)
	c := &Conn{pool: p, address: address, raw: raw}
	if err != nil {
		p.untrack(c)
		return nil, codes.Wrap(codes.NoTarget, err, "target "+address+" can't be reached")
	}
	c.answers = answer.NewReader(raw)
	return c, nil
}

// untrack removes a connection from the number of open ones.
func (p *Pool) untrack(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// put adds an idle connection to the pool, or closes it if its target has
// maxIdlePerTarget of them already.
func (p *Pool) put(c *Conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	idle := p.idle[c.address]
	if len(idle) < maxIdlePerTarget {
		p.idle[c.address] = append(idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// CloseExpired closes the connections that have been idle for too long. It must be called
// periodically.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var stale []*Conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if c.expired(now) {
				stale = append(stale, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// expired reports whether an idle connection has reached its idle timeout.
func (c *Conn) expired(now sardine.Millis) bool {
	idle := maxIdleTime
	if c.targetIdle > 0 {
		idle = min(idle, sardine.Millis(targetIdleShare*float64(c.targetIdle)))
	}
	return now-c.idleSince >= idle
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var all []*Conn
	for _, idle := range p.idle {
		all = append(all, idle...)
	}
	p.idle = make(map[string][]*Conn)
	p.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// deadline converts an instant of the pool's clock to wall-clock time.
func (p *Pool) deadline(at sardine.Millis) time.Time {
	return time.Now().Add((at - p.clock.Now()).Duration())
}

// SetExpiry sets the deadline of all reads and writes to an instant of the pool's clock.
func (c *Conn) SetExpiry(at sardine.Millis) {
	c.SetDeadline(c.pool.deadline(at))
}

// SetTimeout sets the deadline of all reads and writes to a time from now.
func (c *Conn) SetTimeout(timeout sardine.Millis) {
	c.SetExpiry(c.pool.clock.Now() + timeout)
}
