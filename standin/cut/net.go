// Package cut simulates network partitions between nodes that share a process.
// Each node dials through a Net, which can refuse or hold back what one node sends
// to another, independently for each direction.
package cut

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode determines what happens to the bytes that one node sends to another.
type Mode uint8

// Modes of a direction. Where several modes apply, the last in this order does.
const (
	// Pass delivers the bytes.
	Pass Mode = iota
	// Silent delivers nothing and reports no error. Like TCP, it delivers the
	// queued bytes of a connection when the direction passes again, even if the
	// sender has closed the connection meanwhile.
	Silent
	// Refuse resets the connections and refuses new ones.
	Refuse
)

// dialTimeout bounds how long a connection is dialled, as the nodes' own dialers
// do.
const dialTimeout = 1500 * time.Millisecond

// Any matches every node of a direction.
const Any = "*"

// direction is a pair of sender and receiver.
type direction struct {
	from string
	to   string
}

// Net is a network of named nodes. It is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	modes   map[direction]Mode
	nodes   map[string]string // node names by address
	changed chan struct{}     // closed on the next change of modes
	closed  bool
}

// New returns a network in which all directions pass.
func New() *Net {
	return &Net{
		modes:   make(map[direction]Mode),
		nodes:   make(map[string]string),
		changed: make(chan struct{}),
	}
}

// Name records which node listens on an address.
func (n *Net) Name(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// Set sets the mode of one direction, in which one node may be Any.
func (n *Net) Set(from, to string, m Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modes[direction{from: from, to: to}] = m
	n.notifyChange()
}

// Isolate sets the mode between a node and all others in both directions.
func (n *Net) Isolate(node string, m Mode) {
	n.Set(node, Any, m)
	n.Set(Any, node, m)
}

// Heal resets all directions to Pass.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.modes)
	n.notifyChange()
}

// Close shuts the network down: it drops queued bytes, and its connections and
// new dials fail as with Refuse.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.notifyChange()
}

// notifyChange wakes all waiters. The caller holds the lock.
func (n *Net) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// mode returns a direction's mode and a channel that is closed when the mode may
// have changed.
func (n *Net) mode(from, to string) (m Mode, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return Refuse, n.changed
	}
	for _, d := range []direction{{from, to}, {from, Any}, {Any, to}} {
		m = max(m, n.modes[d])
	}
	return m, n.changed
}

// waitWhileSilent waits until a direction is not silent and returns its mode. If
// done is closed first, it returns Silent.
func (n *Net) waitWhileSilent(from, to string, done <-chan struct{}) Mode {
	for {
		m, changed := n.mode(from, to)
		if m != Silent {
			return m
		}
		select {
		case <-changed:
		case <-done:
			return Silent
		}
	}
}

// Dial returns the dial function of a node. An error of it means that nothing was
// sent.
func (n *Net) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		n.mu.Lock()
		to := n.nodes[address]
		n.mu.Unlock()
		for _, d := range []direction{{from, to}, {to, from}} {
			switch n.waitWhileSilent(d.from, d.to, ctx.Done()) {
			case Silent:
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case Refuse:
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			case Pass:
			}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, n, from, to), nil
	}
}
