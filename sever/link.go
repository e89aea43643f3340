// Package sever injects failures into the links between an entry node and its targets.
// Tests and stand-ins use it.
package sever

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode determines what a link does to the connections that are dialled through it.
type Mode uint8

// Modes of a link.
const (
	// Up delivers.
	Up Mode = iota
	// Silent delivers nothing and reports no error. Once the link is up again, it
	// delivers what was written meanwhile, as TCP does, unless a write has waited for
	// longer than ackTimeout.
	Silent
	// Reset resets open connections. New ones hang.
	Reset
	// Refuse delivers on open connections and refuses new ones.
	Refuse
)

// names are the modes' names in settings.
var names = []string{"up", "silent", "reset", "refuse"}

// String returns the mode's name.
func (m Mode) String() string {
	return names[m]
}

const (
	// pollInterval is the interval at which waiting calls look at the link again.
	pollInterval = 2 * time.Millisecond
	// ackTimeout is the time after which a connection with undelivered bytes breaks.
	ackTimeout = 5 * time.Second
)

// Link is the link between one entry node and the targets, on which failures can be
// injected. Its method Dial is the node's dial function.
type Link struct {
	mu    sync.Mutex
	modes map[string]Mode // by address, that of all others by the empty one
	conns map[*conn]bool
	dials map[string]int // by address
}

// NewLink returns a link that works.
func NewLink() *Link {
	return &Link{modes: map[string]Mode{}, conns: map[*conn]bool{}, dials: map[string]int{}}
}

// Set changes the mode of the connections to the addresses, of all if none is given.
func (l *Link) Set(m Mode, addresses ...string) {
	l.mu.Lock()
	if len(addresses) == 0 {
		clear(l.modes)
		l.modes[""] = m
	}
	for _, a := range addresses {
		l.modes[a] = m
	}
	var open []*conn
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.modeChanged()
	}
}

func (l *Link) mode(address string) Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := l.modes[address]; ok {
		return m
	}
	return l.modes[""]
}

// DialsTo returns how many connections to an address were dialled.
func (l *Link) DialsTo(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials[address]
}

// Dial implements sardine.Dial.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	failed := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	l.mu.Lock()
	l.dials[address]++
	l.mu.Unlock()
	for l.mode(address) != Up {
		if l.mode(address) == Refuse {
			return failed(syscall.ECONNREFUSED)
		}
		select {
		case <-ctx.Done():
			return failed(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	raw, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, link: l, address: address}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	c.modeChanged() // the mode may have changed since the loop
	return c, nil
}
