// Package pool keeps connections to targets and carries single HTTP/1.1
// exchanges over them. Unlike http.Transport it never sends a request twice, and
// it tells whether any byte of a request has left.
package pool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Bounds of connections.
const (
	// dialMost bounds the making of a connection: a reachable target of the
	// site accepts within some milliseconds.
	dialMost = 400 * sardine.Millis(1)
	// silenceMost is after which time unacknowledged bytes break a connection,
	// for a target that is cut off in silence.
	silenceMost = 5 * sardine.Second
	// idleMost is how long an unused connection is kept.
	idleMost = 4 * sardine.Second
	// keptShare is the part of a target's own idle limit after which a connection
	// is not used any more, so that a request does not cross its close.
	keptShare = 0.5
	// idleEach bounds the unused connections to one target.
	idleEach = 8
	readSize = 4 << 10 // bytes, holds an event and a head
	// refusedMost bounds the refusals on one connection, whose requests are remembered.
	refusedMost = 64
)

// Pool keeps the connections of one entry node. It is safe for concurrent use.
type Pool struct {
	clock sardine.Clock

	mu    sync.Mutex
	free  map[string][]*Conn // the one used last at the end
	open  map[string]int
	limit map[string]int
}

// New returns a pool without connections.
func New(clock sardine.Clock) *Pool {
	return &Pool{
		clock: clock,
		free:  make(map[string][]*Conn),
		open:  make(map[string]int),
		limit: make(map[string]int),
	}
}

// dialTCP connects with a bound on unacknowledged bytes.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		boundSilence(tcp)
	}
	return raw, nil
}

// boundSilence sets the time after which the kernel gives unacknowledged bytes up. A
// kernel without the option leaves the deadlines of each exchange.
func boundSilence(tcp *net.TCPConn) {
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceMost))
	})
}

// Now returns the time of the pool's clock.
func (p *Pool) Now() sardine.Millis {
	return p.clock.Now()
}

// SetLimit bounds the connections to a target, 0 for any number.
func (p *Pool) SetLimit(address string, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit[address] = most
}

// Get returns an unused connection to a target for a request, or a new one. An error
// means that nothing was sent; it carries codes.NoTarget.
func (p *Pool) Get(ctx context.Context, address, name string) (*Conn, error) {
	for {
		c := p.take(address, name)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// take returns the connection to a target that was used last, of those on which the
// target has not refused the request before: it may write that refusal once more.
func (p *Pool) take(address, name string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.free[address]
	for i, c := range slices.Backward(free) {
		if !slices.Contains(c.refused, name) {
			p.free[address] = slices.Delete(free, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	if most := p.limit[address]; most > 0 && p.open[address] >= most {
		p.mu.Unlock()
		return nil, codes.New(codes.NoTarget, "all %d connections to target %s are in use", most, address)
	}
	p.open[address]++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialMost.Duration())
	defer cancel()
	raw, err := dialTCP(ctx, address)
	c := &Conn{pool: p, address: address, raw: raw}
	if err != nil {
		p.dropped(c)
		return nil, codes.Wrap(codes.NoTarget, err, "target "+address+" can't be reached")
	}
	c.source = bufio.NewReaderSize(raw, readSize)
	c.frames = newFramer(c.source)
	c.reader = bufio.NewReaderSize(c.frames, readSize)
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

// CloseExpired closes the connections that were unused for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var stale []*Conn
	p.mu.Lock()
	for address, free := range p.free {
		kept := free[:0]
		for _, c := range free {
			if c.expired(now) {
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

func (c *Conn) expired(now sardine.Millis) bool {
	idle := idleMost
	if c.targetIdle > 0 {
		idle = min(idle, sardine.Millis(keptShare*float64(c.targetIdle)))
	}
	return now-c.idleFrom >= idle
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

// deadline converts an instant of the pool's clock to the wall's.
func (p *Pool) deadline(at sardine.Millis) time.Time {
	return time.Now().Add((at - p.clock.Now()).Duration())
}

// SetExpiry bounds all reads and writes of the connection by an instant.
func (c *Conn) SetExpiry(at sardine.Millis) {
	c.SetDeadline(c.pool.deadline(at))
}

// SetTimeout bounds all reads and writes of the connection to a time from now.
func (c *Conn) SetTimeout(most sardine.Millis) {
	c.SetExpiry(c.pool.clock.Now() + most)
}
