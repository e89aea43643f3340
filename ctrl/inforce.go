package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

// inForcePollInterval is the time between two checks of the ledger if no granted lease
// triggers one.
const inForcePollInterval = 100 * sardine.Millis(1)

// maxAckDelay bounds how long the acknowledgement of a layout or of a departure waits
// for entry nodes, from the arrival of the call on. Callers wait for one second, and the
// call may have been forwarded.
const maxAckDelay = 500 * sardine.Millis(1)

// awaitEntries waits until the change at index is in force on every entry node that may
// serve, at most until maxAckDelay after the call arrived. An entry node that is cut off
// or paused delays the acknowledgement, but does not prevent it: the change is durable.
func (n *Node) awaitEntries(ctx context.Context, arrived sardine.Millis, index uint64) {
	left := arrived + maxAckDelay - n.clock.Now()
	if left <= 0 {
		return
	}
	if n.awaitInForceFor(ctx, "", index, left) == nil {
		n.instruments.changesInForce.Record(n.clock.Now() - arrived)
	}
}

// awaitInForce waits until the change at index is in force on every entry node that
// may serve, at most for Timing.InForceTimeout.
func (n *Node) awaitInForce(ctx context.Context, name sardine.Team, index uint64) error {
	return n.awaitInForceFor(ctx, name, index, n.timing.InForceTimeout)
}

func (n *Node) awaitInForceFor(ctx context.Context, name sardine.Team, index uint64, most sardine.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, most.Duration())
	defer cancel()
	for {
		granted := n.leasesGranted.wait()
		v, err := n.verdict(name, index)
		if err != nil {
			return err
		}
		if v.InForce {
			return nil
		}
		select {
		case <-granted:
		case <-n.clock.After(inForcePollInterval):
		case <-ctx.Done():
			return codes.New(codes.ChangeHeld, "the change is durable; not yet in force on %v", v.Waiting)
		case <-n.tomb.Dying():
			return codes.New(codes.ChangeHeld, "the change is durable; this control node is stopping")
		}
	}
}

// verdict returns the ledger's verdict on an index after the ledger has caught up.
func (n *Node) verdict(name sardine.Team, index uint64) (lease.Verdict, error) {
	info := n.log.Leader()
	if !info.IsLeader {
		return lease.Verdict{}, n.redirect(codes.New(codes.NotLeader, "this control node does not lead any more"))
	}
	var v lease.Verdict
	n.log.View(func(m *state.Machine) {
		v = n.leadership.verdict(n.clock.Now(), m, name, index)
	})
	return v, nil
}

func (l *leadership) verdict(now sardine.Millis, m *state.Machine, name sardine.Team, index uint64) lease.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return lease.Verdict{} // the leader loop begins the term in its next round
	}
	l.catchUp(m, cutPolicyOf)
	if name == "" {
		return l.ledger.InForce(now, index)
	}
	return l.ledger.InForceTeam(now, name, index)
}

// inForce reports whether an index is in force. Reads of settings show it; errors
// count as not in force.
func (n *Node) inForce(index uint64) bool {
	v, err := n.verdict("", index)
	return err == nil && v.InForce
}
