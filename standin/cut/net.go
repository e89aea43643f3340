// Package cut breaks the network between nodes that share a process. Each node
// dials through a Net, which can refuse or swallow what goes from one node to
// another, in each direction for itself.
package cut

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is what happens to what one node sends to another.
type Mode uint8

// Modes of a direction.
const (
	// Pass delivers.
	Pass Mode = iota
	// Silent delivers nothing and tells nobody. As TCP does, it delivers what a
	// connection still holds once the direction passes again, also after the
	// sender has given up.
	Silent
	// Refuse breaks the connections and refuses new ones.
	Refuse
)

// dialMost bounds the making of a connection, as the nodes' own dialers do.
const dialMost = 1500 * time.Millisecond

// Any stands for every node in a direction.
const Any = "*"

// direction is from one node to another.
type direction struct {
	from string
	to   string
}

// Net is the network. It is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	modes   map[direction]Mode
	names   map[string]string // by address
	changed chan struct{}     // closed at the next change
	closed  bool
}

// New returns a network that passes everything.
func New() *Net {
	return &Net{
		modes:   make(map[direction]Mode),
		names:   make(map[string]string),
		changed: make(chan struct{}),
	}
}

// Name says which node listens on an address.
func (n *Net) Name(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = node
}

// Set sets the mode of one direction; Any stands for every node.
func (n *Net) Set(from, to string, m Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modes[direction{from: from, to: to}] = m
	n.wake()
}

// Isolate cuts a node off from all others in both directions.
func (n *Net) Isolate(node string, m Mode) {
	n.Set(node, Any, m)
	n.Set(Any, node, m)
}

// Heal lets everything pass again.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.modes)
	n.wake()
}

// Close ends the network: what is held is dropped and its connections are closed.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.wake()
}

func (n *Net) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// mode returns a direction's mode and a channel that is closed when it may have
// changed.
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

// await waits until a direction is not silent. Over ends the wait.
func (n *Net) await(from, to string, over <-chan struct{}) Mode {
	for {
		m, changed := n.mode(from, to)
		if m != Silent {
			return m
		}
		select {
		case <-changed:
		case <-over:
			return Silent
		}
	}
}

// Dial returns the dial function of a node. Its errors are of dialling: nothing
// was sent.
func (n *Net) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialMost)
		defer cancel()
		n.mu.Lock()
		to := n.names[address]
		n.mu.Unlock()
		for _, d := range []direction{{from, to}, {to, from}} {
			switch n.await(d.from, d.to, ctx.Done()) {
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
