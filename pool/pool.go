// Package pool keeps connections to targets and carries single HTTP/1.1
// exchanges over them. Unlike http.Transport it never sends a request twice, and
// it tells whether any byte of a request has left.
package pool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Defaults of a Pool.
const (
	// defaultDial bounds the making of a connection: a reachable target of the
	// site accepts within some milliseconds.
	defaultDial = 400 * sardine.Millis(1)
	// defaultSilence is after which time unacknowledged bytes break a connection,
	// for a target that is cut off in silence.
	defaultSilence = 5 * sardine.Second
	// defaultIdle is how long an unused connection is kept.
	defaultIdle = 4 * sardine.Second
	// keptShare is the part of a target's own idle limit after which a connection
	// is not used any more, so that a request does not cross its close.
	keptShare = 0.5
	// idleEach bounds the unused connections to one target.
	idleEach = 8
	readSize = 4 << 10 // bytes, holds an event and a head
)

// Pool keeps the connections of one entry node. It is safe for concurrent use.
type Pool struct {
	clock   sardine.Clock
	dial    sardine.Dial
	dialing sardine.Millis
	silence sardine.Millis
	idle    sardine.Millis

	mu    sync.Mutex
	free  map[string][]*Conn // the one used last at the end
	open  map[string]int
	limit map[string]int
	made  uint64
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDial sets how targets are connected to.
func WithDial(d sardine.Dial) Option {
	return func(p *Pool) { p.dial = d }
}

// WithSilence sets after which time unacknowledged bytes break a connection.
func WithSilence(d sardine.Millis) Option {
	return func(p *Pool) { p.silence = d }
}

// WithIdle sets how long an unused connection is kept.
func WithIdle(d sardine.Millis) Option {
	return func(p *Pool) { p.idle = d }
}

// New returns a pool without connections.
func New(clock sardine.Clock, options ...Option) *Pool {
	p := &Pool{
		clock:   clock,
		dialing: defaultDial,
		silence: defaultSilence,
		idle:    defaultIdle,
		free:    make(map[string][]*Conn),
		open:    make(map[string]int),
		limit:   make(map[string]int),
	}
	p.dial = p.dialTCP
	for _, o := range options {
		o(p)
	}
	return p
}

// dialTCP connects with a bound on unacknowledged bytes.
func (p *Pool) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		p.bound(tcp)
	}
	return raw, nil
}

// bound sets the time after which the kernel gives unacknowledged bytes up. A
// kernel without the option leaves the deadlines of each exchange.
func (p *Pool) bound(tcp *net.TCPConn) {
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.silence))
	})
}

// SetLimit bounds the connections to a target, 0 for any number.
func (p *Pool) SetLimit(address string, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit[address] = most
}

// Get returns an unused connection to a target, or a new one. An error means
// that nothing was sent; it carries codes.NoTarget.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// take returns the connection to a target that was used last.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.free[address]
	if len(free) == 0 {
		return nil
	}
	c := free[len(free)-1]
	p.free[address] = free[:len(free)-1]
	return c
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	if most := p.limit[address]; most > 0 && p.open[address] >= most {
		p.mu.Unlock()
		return nil, codes.New(codes.NoTarget, "all %d connections to target %s are in use", most, address)
	}
	p.open[address]++
	p.made++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.dialing.Duration())
	defer cancel()
	raw, err := p.dial(ctx, "tcp", address)
	c := &Conn{pool: p, address: address, raw: raw}
	if err != nil {
		p.dropped(c)
		return nil, codes.Wrap(codes.NoTarget, err, "target "+address+" can't be reached")
	}
	c.reader = bufio.NewReaderSize(raw, readSize)
	return c, nil
}

func (p *Pool) dropped(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// put keeps a connection for the next exchange, at most idleEach of them.
func (p *Pool) put(c *Conn) {
	c.idleFrom = p.clock.Now()
	p.mu.Lock()
	free := p.free[c.address]
	if len(free) < idleEach {
		p.free[c.address] = append(free, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// Tick closes the connections that were unused for too long.
func (p *Pool) Tick() {
	now := p.clock.Now()
	var stale []*Conn
	p.mu.Lock()
	for address, free := range p.free {
		kept := free[:0]
		for _, c := range free {
			if c.expired(now, p.idle) {
				stale = append(stale, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.free[address] = kept
		if len(kept) == 0 {
			delete(p.free, address)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

func (c *Conn) expired(now, idle sardine.Millis) bool {
	if c.idleMost > 0 {
		idle = min(idle, sardine.Millis(keptShare*float64(c.idleMost)))
	}
	return now-c.idleFrom >= idle
}

// Forget closes the unused connections to a target.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	stale := p.free[address]
	delete(p.free, address)
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// Close closes all unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var all []*Conn
	for _, free := range p.free {
		all = append(all, free...)
	}
	p.free = make(map[string][]*Conn)
	p.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// Made returns how many connections were made.
func (p *Pool) Made() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made
}

// deadline converts an instant of the pool's clock to the wall's.
func (p *Pool) deadline(at sardine.Millis) time.Time {
	return time.Now().Add((at - p.clock.Now()).Duration())
}

// Expire bounds all reads and writes of the connection by an instant.
func (c *Conn) Expire(at sardine.Millis) {
	c.Until(c.pool.deadline(at))
}
