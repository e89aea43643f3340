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
	// probeTimeout bounds the connect of one probe.
	probeTimeout = 300 * sardine.Millis(1)
	// probeHold is how long a probe watches its connection. A process that
	// exits closes its sockets one after the other, so its listening socket may
	// stay open some milliseconds longer than the connection that broke.
	probeHold = 50 * sardine.Millis(1)
	// maxProbes bounds the probes of a target that does not respond: the SYN
	// packet may be lost.
	maxProbes = 3
	// checkTimeout is how long to wait until the replicated log shows that a
	// target has exited, if it still accepts connections or does not respond.
	// It covers the lease of an announcement and the time of the leader's
	// decision.
	checkTimeout = 5 * sardine.Second
	// checkRetention is how long a target is remembered as exited. By then
	// every request that lost its answer has failed.
	checkRetention = 30 * sardine.Second
	// settleTimeout bounds how long a request waits for the result of a probe before
	// it is sent again.
	settleTimeout = 100 * sardine.Millis(1)
	// abandonedWindow is how long a target may still work on a request after its
	// caller has disconnected.
	abandonedWindow = 500 * sardine.Millis(1)
	// maxPendingLosses bounds the losses that wait for the result of one check.
	maxPendingLosses = 256
)

// dispatched is a target and the processes that it consisted of when a request
// was sent to it.
type dispatched struct {
	candidate route.Candidate
	processes []sardine.Member
}

// check determines whether a process of a target has exited. It is guarded by
// checks.mu.
type check struct {
	target   dispatched
	deadline sardine.Millis // when waiting for the replicated log ends
	probing  bool
	exitedAt sardine.Millis // 0 unless it has exited
	requests int            // number of requests that the target lost
	pending  []guard.Loss   // losses that count once the target has exited
	suspects []guard.Loss   // losses whose segments count once the target has exited
	probed   chan struct{}  // closed when the last probe has ended
}

// checks runs a check on each target that lost requests, one at a time per
// target.
type checks struct {
	node *Node
	mu   sync.Mutex
	all  map[route.Ref]*check
	// abandoned holds the attempts of callers that disconnected before the answer
	// began, for abandonedWindow.
	abandoned map[route.Ref][]guard.Loss
	running   sync.WaitGroup
}

func newChecks(n *Node) *checks {
	return &checks{node: n, all: make(map[route.Ref]*check), abandoned: make(map[route.Ref][]guard.Loss)}
}

// begin returns the check of a target that has just lost a request, starting it
// if needed. A target that became silent is not probed; only the replicated log
// shows whether it has exited.
func (c *checks) begin(d dispatched, probe bool) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.all[d.candidate.Ref]
	if k == nil {
		k = &check{target: d}
		c.all[d.candidate.Ref] = k
	}
	k.requests++
	k.deadline = c.node.clock.Now() + checkTimeout
	if probe {
		c.startProbe(k)
	}
	return k
}

// startProbe starts a probe of a target unless one is running. The caller holds the lock.
func (c *checks) startProbe(k *check) {
	if k.exitedAt > 0 || k.probing {
		return
	}
	k.probing, k.probed = true, make(chan struct{})
	c.running.Go(func() { c.probe(k) })
}

// probe tries to connect to the target.
func (c *checks) probe(k *check) {
	ctx, address := c.node.baseCtx, k.target.candidate.Address
	reached := make(chan bool, 1)
	c.running.Go(func() { reached <- c.node.links.reachesOther(ctx, address) }) // a request may wait for the result
	exited := c.node.exited(ctx, address) && (<-reached || c.node.links.verify(ctx))
	c.mu.Lock()
	defer close(k.probed)
	k.probing = false
	var found exitLosses
	if exited && k.exitedAt == 0 && !c.wasLeaving(c.node.view(), k) {
		found = c.markExited(k, "nobody listens")
	}
	c.mu.Unlock()
	c.count(found)
}

// settle waits until the probe of the target has ended, at most for settleTimeout.
func (c *checks) settle(ctx context.Context, k *check) {
	c.mu.Lock()
	probed := k.probed
	c.mu.Unlock()
	if probed == nil {
		return
	}
	select {
	case <-probed:
	case <-ctx.Done():
	case <-c.node.clock.After(settleTimeout):
	}
}

// exitLosses holds the losses that count now that their target has exited.
type exitLosses struct {
	requests []guard.Loss
	suspects []guard.Loss
}

// count counts losses against their requests and their segments.
func (c *checks) count(l exitLosses) {
	for _, one := range l.requests {
		c.node.strikes.recordFailure(one)
	}
	for _, one := range l.suspects {
		c.node.strikes.recordSuspects(one)
	}
}

// markExited records that a target has exited and returns the losses that count
// now. The caller holds the lock.
func (c *checks) markExited(k *check, why string) exitLosses {
	n := c.node
	k.exitedAt = n.clock.Now()
	n.meter.targetExited()
	event.Log(n.log, event.TargetEnded, slog.String("target", k.target.candidate.String()), slog.String("address", k.target.candidate.Address),
		slog.String("why", why), slog.Int("requests", k.requests))
	found := exitLosses{requests: k.pending, suspects: k.suspects}
	for _, l := range c.abandoned[k.target.candidate.Ref] {
		if k.exitedAt-l.At < abandonedWindow {
			found.suspects = append(found.suspects, l)
		}
	}
	k.pending, k.suspects = nil, nil
	return found
}

// hasExited reports whether the target is known to have exited.
func (c *checks) hasExited(k *check) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.exitedAt > 0
}

// addLoss counts a loss against its request at once if the target has exited, or
// else when the check finds that it has.
func (c *checks) addLoss(k *check, l guard.Loss) {
	if c.postpone(k, &k.pending, l) {
		return
	}
	c.count(exitLosses{requests: []guard.Loss{l}})
}

// addSuspect does the same for the segments of a loss.
func (c *checks) addSuspect(k *check, l guard.Loss) {
	if c.postpone(k, &k.suspects, l) {
		return
	}
	c.count(exitLosses{suspects: []guard.Loss{l}})
}

// addAbandoned notes an attempt whose caller has disconnected. Its segments count if
// the target exits soon.
func (c *checks) addAbandoned(d dispatched, l guard.Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref := d.candidate.Ref
	if all := c.abandoned[ref]; len(all) < maxPendingLosses {
		c.abandoned[ref] = append(all, l)
	}
}

// discard drops the losses from an instant on, which were not due to their targets.
func (c *checks) discard(since sardine.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := func(l guard.Loss) bool { return l.At >= since }
	for ref, k := range c.all {
		k.pending = slices.DeleteFunc(k.pending, later)
		k.suspects = slices.DeleteFunc(k.suspects, later)
		if k.isOpenSince(since) {
			delete(c.all, ref)
		}
	}
	for ref, all := range c.abandoned {
		c.abandoned[ref] = slices.DeleteFunc(all, later)
	}
}

// resume goes on with the checks that were begun from an instant on.
func (c *checks) resume(since sardine.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.all {
		if k.isOpenSince(since) {
			k.deadline = c.node.clock.Now() + checkTimeout
			c.startProbe(k)
		}
	}
}

// isOpenSince reports whether the target is not known to have exited and its last loss
// was at or after an instant.
func (k *check) isOpenSince(at sardine.Millis) bool {
	return k.exitedAt == 0 && k.deadline-checkTimeout >= at
}

// pruneAbandoned drops the attempts whose targets have stopped working on them. The
// caller holds the lock.
func (c *checks) pruneAbandoned(now sardine.Millis) {
	for ref, all := range c.abandoned {
		all = slices.DeleteFunc(all, func(l guard.Loss) bool { return now-l.At >= abandonedWindow })
		if len(all) == 0 {
			delete(c.abandoned, ref)
			continue
		}
		c.abandoned[ref] = all
	}
}

// postpone adds a loss to those that wait for the check, and reports whether it has
// to wait.
func (c *checks) postpone(k *check, pending *[]guard.Loss, l guard.Loss) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.exitedAt == 0 && len(*pending) < maxPendingLosses {
		*pending = append(*pending, l)
	}
	return k.exitedAt == 0
}

// tick looks up targets that did not respond or still listen in the followed
// state, and removes checks of targets that exited long ago or are healthy. An
// isolated node does not know yet whether its targets have failed.
func (c *checks) tick() {
	v, now := c.node.view(), c.node.clock.Now()
	var found []exitLosses
	c.mu.Lock()
	c.pruneAbandoned(now)
	for ref, k := range c.all {
		switch {
		case k.exitedAt > 0 && now > k.exitedAt+checkRetention:
			delete(c.all, ref)
		case k.exitedAt > 0, k.probing, c.node.isolated():
		case c.wasLeaving(v, k) || now > k.deadline:
			delete(c.all, ref)
		case slices.ContainsFunc(k.target.processes, v.removed):
			found = append(found, c.markExited(k, "the log has dropped it"))
		}
	}
	c.mu.Unlock()
	for _, l := range found {
		c.count(l)
	}
}

// wasLeaving reports whether a process of the target had announced that it
// leaves. Its exit is then expected.
func (c *checks) wasLeaving(v *view, k *check) bool {
	return slices.ContainsFunc(k.target.processes, func(m sardine.Member) bool {
		s, known := v.targetStates[m.VM]
		return known && s.incarnation == m.Incarnation && s.leaving
	})
}

// drain waits for running checks.
func (c *checks) drain() {
	c.running.Wait()
}

// exited reports whether no process listens at the address. A target that does
// not respond may be unreachable and counts as healthy.
func (n *Node) exited(ctx context.Context, address string) bool {
	for range maxProbes {
		listens, err := n.isListening(ctx, address)
		if err == nil {
			return !listens
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// isListening reports whether a process listens at the address. An error means
// that this is unknown.
func (n *Node) isListening(ctx context.Context, address string) (listens bool, err error) {
	conn, err := n.connect(ctx, address)
	if conn == nil {
		return false, err
	}
	closed := closedByPeer(conn)
	_ = conn.Close() // nothing was sent
	if !closed {
		return true, nil
	}
	conn, err = n.connect(ctx, address) // a process with too many connections also closes them, but still listens
	if conn == nil {
		return false, err
	}
	_ = conn.Close() // nothing was sent
	return true, nil
}

// connect connects to the address. A nil connection without an error means that
// no process listens there.
func (n *Node) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.dialTarget(ctx, address, probeTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return nil, nil
	}
	return conn, err
}

// closedByPeer reports whether the peer closes a connection on which nothing
// was sent.
func closedByPeer(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(probeHold.Duration())); err != nil {
		return true
	}
	var one [1]byte
	_, err := conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
