package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/route"
)

const (
	// probeTimeout bounds the look whether a target still listens.
	probeTimeout = 300 * sardine.Millis(1)
	// probeHold is how long the connection of that look is watched. A process that
	// ends closes its sockets one after the other, so that the one it listens on may
	// outlive the one that broke by some milliseconds.
	probeHold = 50 * sardine.Millis(1)
	// checkProbes bounds the looks at a target that gives no answer: an opening
	// packet may be lost.
	checkProbes = 3
	// checkWatch is how long the log may take to know that a target has ended that
	// still takes connections or is silent: the lease of an announcement, and some
	// time for the decision.
	checkWatch = 5 * sardine.Second
	// checkKept is how long it is known that a target has ended. Answers that it
	// broke off are all missed by then.
	checkKept = 30 * sardine.Second
	// blamedMost bounds the requests that await the result of one check.
	blamedMost = 256
)

// dispatched is a target with the processes that it depended on when it got a
// request.
type dispatched struct {
	candidate route.Candidate
	crew      []sardine.Member
}

// check finds out whether a process of a target has ended. checks.mu guards it.
type check struct {
	target   dispatched
	until    sardine.Millis // the log may still tell
	probing  bool
	endedAt  sardine.Millis // 0 unless it has ended
	requests int            // that the target lost
	blamed   []guard.Loss   // that count once it has ended
}

// checks looks at targets that lost requests, at each of them once at a time.
type checks struct {
	node    *Node
	mu      sync.Mutex
	all     map[route.Ref]*check
	running sync.WaitGroup
}

func newChecks(n *Node) *checks {
	return &checks{node: n, all: make(map[route.Ref]*check)}
}

// begin returns the check of a target that has just lost a request. A silent one is
// not asked: the log tells what becomes of it.
func (c *checks) begin(d dispatched, ask bool) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.all[d.candidate.Ref]
	if k == nil {
		k = &check{target: d}
		c.all[d.candidate.Ref] = k
	}
	k.requests++
	k.until = c.node.clock.Now() + checkWatch
	if ask && k.endedAt == 0 && !k.probing {
		k.probing = true
		c.running.Go(func() { c.probe(k) })
	}
	return k
}

// probe asks the target itself.
func (c *checks) probe(k *check) {
	ended := c.node.ended(c.node.life, k.target.candidate.Address)
	c.mu.Lock()
	k.probing = false
	blamed := []guard.Loss(nil)
	if ended && k.endedAt == 0 && !c.excused(c.node.view(), k) {
		blamed = c.close(k, "nobody listens")
	}
	c.mu.Unlock()
	c.strike(blamed)
}

// close notes that a target has ended and returns the losses that count now. The
// lock is held.
func (c *checks) close(k *check, why string) []guard.Loss {
	n := c.node
	k.endedAt = n.clock.Now()
	n.meter.ended()
	event.Log(n.log, event.TargetEnded, slog.String("target", k.target.candidate.String()), slog.String("address", k.target.candidate.Address),
		slog.String("why", why), slog.Int("requests", k.requests))
	blamed := k.blamed
	k.blamed = nil
	return blamed
}

func (c *checks) strike(all []guard.Loss) {
	for _, l := range all {
		c.node.strikes.ended(l)
	}
}

// hasEnded reports whether the target is known to have ended.
func (c *checks) hasEnded(k *check) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.endedAt > 0
}

// blame counts a loss, now or once the check has found that the target has ended.
func (c *checks) blame(k *check, l guard.Loss) {
	c.mu.Lock()
	ended := k.endedAt > 0
	if !ended && len(k.blamed) < blamedMost {
		k.blamed = append(k.blamed, l)
	}
	c.mu.Unlock()
	if ended {
		c.strike([]guard.Loss{l})
	}
}

// tick asks the log about targets that gave no answer or still listen, and forgets
// those that ended long ago or were sound.
func (c *checks) tick() {
	v, now := c.node.view(), c.node.clock.Now()
	var blamed []guard.Loss
	c.mu.Lock()
	for ref, k := range c.all {
		switch {
		case k.endedAt > 0 && now > k.endedAt+checkKept:
			delete(c.all, ref)
		case k.endedAt > 0 || k.probing:
		case c.excused(v, k) || now > k.until:
			delete(c.all, ref)
		case slices.ContainsFunc(k.target.crew, v.gone):
			blamed = append(blamed, c.close(k, "the log has dropped it")...)
		}
	}
	c.mu.Unlock()
	c.strike(blamed)
}

// excused reports whether the target was to leave: then its end is no wonder.
func (c *checks) excused(v *view, k *check) bool {
	return slices.ContainsFunc(k.target.crew, func(m sardine.Member) bool {
		s, known := v.standings[m.VM]
		return known && s.incarnation == m.Incarnation && s.leaving
	})
}

// drain waits for the checks under way.
func (c *checks) drain() {
	c.running.Wait()
}

// ended reports whether no process takes connections at the address. A target that
// gives no answer may be cut off, and counts as sound.
func (n *Node) ended(ctx context.Context, address string) bool {
	for range checkProbes {
		listens, err := n.look(ctx, address)
		if err == nil {
			return !listens
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// look reports whether a process listens at the address. An error means that it is
// not known.
func (n *Node) look(ctx context.Context, address string) (listens bool, err error) {
	conn, err := n.connect(ctx, address)
	if conn == nil {
		return false, err
	}
	closed := closes(conn)
	_ = conn.Close() // nothing was sent
	if !closed {
		return true, nil
	}
	conn, err = n.connect(ctx, address) // one that is only full closes it too, but still listens
	if conn == nil {
		return false, err
	}
	_ = conn.Close() // nothing was sent
	return true, nil
}

// connect connects to the address. Without a connection and an error nobody listens
// there.
func (n *Node) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return nil, nil
	}
	return conn, err
}

// closes reports whether the other side ends a connection on which nothing was sent.
func closes(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(probeHold.Duration())); err != nil {
		return true
	}
	var one [1]byte
	_, err := conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
