// Package cut simulates network partitions between nodes that share a process.
// Each node dials through a Network, which can reset the connections from one node to
// another or withhold what is sent, independently for each direction.
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
	// Deliver delivers the bytes.
	Deliver Mode = iota
	// Withhold delivers nothing and reports no error. Like TCP, it delivers the
	// queued bytes of a connection when the direction delivers again, even if the
	// sender has closed the connection meanwhile.
	Withhold
	// Reset resets the connections and refuses new ones.
	Reset
)

// dialTimeout bounds how long a connection is dialled, as the nodes' own dialers
// do.
const dialTimeout = 1500 * time.Millisecond

// AnyNode matches every node of a direction.
const AnyNode = "*"

// direction is a pair of sender and receiver.
type direction struct {
	from string
	to   string
}

// Network is a network of named nodes. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	modes   map[direction]Mode
	nodes   map[string]string // node names by address
	changed chan struct{}     // closed on the next change of modes
	closed  bool
}

// New returns a network in which all directions deliver.
func New() *Network {
	return &Network{
		modes:   make(map[direction]Mode),
		nodes:   make(map[string]string),
		changed: make(chan struct{}),
	}
}

// SetNodeAddress records which node listens on an address.
func (n *Network) SetNodeAddress(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// SetMode sets the mode of one direction, in which one node may be AnyNode.
func (n *Network) SetMode(from, to string, m Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modes[direction{from: from, to: to}] = m
	n.notifyChange()
}

// Isolate sets the mode between a node and all others in both directions.
func (n *Network) Isolate(node string, m Mode) {
	n.SetMode(node, AnyNode, m)
	n.SetMode(AnyNode, node, m)
}

// Heal resets all directions to Deliver.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.modes)
	n.notifyChange()
}

// Close shuts the network down: it drops queued bytes, and its connections and
// new dials fail as with Reset.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.notifyChange()
}

// notifyChange wakes all waiters. The caller holds the lock.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// mode returns a direction's mode and a channel that is closed when the mode may
// have changed.
func (n *Network) mode(from, to string) (m Mode, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return Reset, n.changed
	}
	for _, d := range []direction{{from, to}, {from, AnyNode}, {AnyNode, to}} {
		m = max(m, n.modes[d])
	}
	return m, n.changed
}

// waitWhileWithheld waits until a direction is not withheld and returns its mode.
// If done is closed first, it returns Withhold.
func (n *Network) waitWhileWithheld(from, to string, done <-chan struct{}) Mode {
	for {
		m, changed := n.mode(from, to)
		if m != Withhold {
			return m
		}
		select {
		case <-changed:
		case <-done:
			return Withhold
		}
	}
}

// Dial returns the dial function of a node. An error of it means that nothing was
// sent.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		n.mu.Lock()
		to := n.nodes[address]
		n.mu.Unlock()
		for _, d := range []direction{{from, to}, {to, from}} {
			switch n.waitWhileWithheld(d.from, d.to, ctx.Done()) {
			case Withhold:
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case Reset:
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			case Deliver:
			}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, n, from, to), nil
	}
}
