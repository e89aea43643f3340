package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// Back-off between two attempts at one order. Many orders that get no answer are
// taken at the second attempt.
const (
	firstRetry = 100 * sardine.Millis(1)
	lastRetry  = 8 * sardine.Second
)

// vmNote is what the planner remembers of one VM. It is soft: a new leader
// starts without it.
type vmNote struct {
	incarnation sardine.Incarnation
	order       sardine.Order // last one sent
	underWay    bool          // sent, its end is not known
	sentAt      sardine.Millis
	confirmed   bool // the engine took the order over
	confirmedAt sardine.Millis
	tries       int
	retryAt     sardine.Millis
	unsureUntil sardine.Millis // an unconfirmed order may arrive until then
	leaving     bool           // announced before it went
	goneSince   sardine.Millis // 0 while alive
	failures    []sardine.Millis
	barredUntil sardine.Millis
	slowSince   sardine.Millis    // 0 while not slow
	staging     sardine.ModelName // that it was told to bring to its host, empty for none
	stagingAt   sardine.Millis
	freeSince   sardine.Millis // 0 while not free
	survivor    bool           // was last a member of a group that was given up
}

// noteFree follows since when the VM may join a group.
func (n *vmNote) noteFree(now sardine.Millis, free bool) {
	switch {
	case !free:
		n.freeSince = 0
	case n.freeSince == 0:
		n.freeSince = now
	}
}

// sent notes that an order left.
func (n *vmNote) sent(now sardine.Millis, i sardine.Incarnation, o sardine.Order) {
	n.incarnation = i
	n.order = o
	n.underWay = true
	n.sentAt = now
	n.confirmed = false
}

// retryLater sets the next attempt, with back-off.
func (n *vmNote) retryLater(now sardine.Millis) {
	wait := firstRetry << min(n.tries, 7)
	n.tries++
	n.retryAt = now + min(wait, lastRetry)
}

// released reports whether the engine's incarnation confirmed that it dropped
// the group's orders up to an epoch.
func (n *vmNote) released(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.confirmed && n.order.Release && n.incarnation == i && n.order.Group == g && n.order.Epoch >= e
}

// releasedExactly reports whether the engine's incarnation confirmed that it
// dropped the order of the group's epoch that it held. Some engines drop no other.
func (n *vmNote) releasedExactly(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.released(i, g, e) && n.order.Epoch == e
}

// joined reports whether the engine's incarnation confirmed an order.
func (n *vmNote) joined(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.confirmed && !n.order.Release && n.incarnation == i && n.order.Group == g && n.order.Epoch == e
}

// fail notes a failure and bars the VM if it fails often.
func (n *vmNote) fail(now sardine.Millis, l Limits) {
	kept := n.failures[:0]
	for _, at := range n.failures {
		if at+l.FlapWindow > now {
			kept = append(kept, at)
		}
	}
	n.failures = append(kept, now)
	if len(n.failures) < 2 {
		return
	}
	bar := min(l.FlapBar<<min(len(n.failures)-2, 8), l.FlapBarMost)
	n.barredUntil = max(n.barredUntil, now+bar)
}

// forgettable reports whether nothing in the note matters any more for a VM that
// the log does not know.
func (n *vmNote) forgettable(now sardine.Millis, l Limits) bool {
	if n.barredUntil > now || n.unsureUntil > now || n.underWay {
		return false
	}
	return len(n.failures) == 0 || n.failures[len(n.failures)-1]+l.FlapWindow <= now
}

// Purpose is why a group is being drained.
type Purpose uint8

// The purposes of a drain.
const (
	notDraining   Purpose = iota
	drainSwap             // one member is replaced by a loaded spare
	drainRoll             // the members load another version
	drainDissolve         // the group ends
)

// groupNote is what the planner remembers of one group's epoch.
type groupNote struct {
	epoch    sardine.Epoch
	state    sardine.GroupState
	since    sardine.Millis // of the state
	downFrom sardine.Millis // when it last stopped serving, 0 while it serves
	drain    Purpose
	drainAt  sardine.Millis
	swapOut  sardine.VMID // the member that is being replaced
	newEpoch bool         // an engine holds a higher epoch than the group
	served   bool         // it has served under this leader, whatever its epoch
	placed   string       // why it is in its domain
	why      string       // the last decision
}

// pending is a group's commands that were proposed and not yet answered.
type pending struct {
	commands int
	at       sardine.Millis
	vms      []sardine.VMID
}
