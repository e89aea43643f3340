package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// Bounds of the delay before an order is sent again. Many orders that get no
// answer succeed at the second attempt, so the first delay is short.
const (
	minRetryDelay = 100 * sardine.Millis(1)
	maxRetryDelay = 8 * sardine.Second
)

// vmRecord is what the planner remembers of one VM. It is not replicated: a new
// leader starts without it.
type vmRecord struct {
	incarnation     sardine.Incarnation
	order           sardine.Order // last order sent
	outstanding     bool          // sent, result not known yet
	sentAt          sardine.Millis
	confirmed       bool // the engine accepted the order
	confirmedAt     sardine.Millis
	attempts        int
	retryAt         sardine.Millis
	staleOrderUntil sardine.Millis // an unconfirmed order may arrive until then
	leaving         bool           // announced that it leaves
	absentSince     sardine.Millis // 0 while alive
	failures        []sardine.Millis
	excludedUntil   sardine.Millis
	slowSince       sardine.Millis    // 0 while not slow
	staging         sardine.ModelName // model that its host was ordered to load, empty for none
	stagingAt       sardine.Millis
	freeSince       sardine.Millis // 0 while not free
	survivor        bool           // was last a member of a dissolved group
}

// recordFree tracks since when the VM may join a group.
func (n *vmRecord) recordFree(now sardine.Millis, free bool) {
	switch {
	case !free:
		n.freeSince = 0
	case n.freeSince == 0:
		n.freeSince = now
	}
}

// sent records that an order was sent.
func (n *vmRecord) sent(now sardine.Millis, i sardine.Incarnation, o sardine.Order) {
	n.incarnation = i
	n.order = o
	n.outstanding = true
	n.sentAt = now
	n.confirmed = false
}

// retryLater sets the time of the next attempt, with exponential back-off.
func (n *vmRecord) retryLater(now sardine.Millis) {
	wait := minRetryDelay << min(n.attempts, 7)
	n.attempts++
	n.retryAt = now + min(wait, maxRetryDelay)
}

// released reports whether the engine's incarnation confirmed the release of
// the group's orders up to an epoch.
func (n *vmRecord) released(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.confirmed && n.order.Release && n.incarnation == i && n.order.Group == g && n.order.Epoch >= e
}

// releasedExactly reports whether the engine's incarnation confirmed the
// release of the order of this epoch. Some engines release only the order that
// they hold.
func (n *vmRecord) releasedExactly(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.released(i, g, e) && n.order.Epoch == e
}

// joined reports whether the engine's incarnation confirmed a group's order.
func (n *vmRecord) joined(i sardine.Incarnation, g sardine.GroupID, e sardine.Epoch) bool {
	return n.confirmed && !n.order.Release && n.incarnation == i && n.order.Group == g && n.order.Epoch == e
}

// fail records a failure and excludes the VM if it fails often.
func (n *vmRecord) fail(now sardine.Millis, l Limits) {
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
	exclusion := min(l.FlapExclusion<<min(len(n.failures)-2, 8), l.MaxFlapExclusion)
	n.excludedUntil = max(n.excludedUntil, now+exclusion)
}

// removable reports whether the record of a VM that is not in the log no longer
// affects any decision.
func (n *vmRecord) removable(now sardine.Millis, l Limits) bool {
	if n.excludedUntil > now || n.staleOrderUntil > now || n.outstanding {
		return false
	}
	return len(n.failures) == 0 || n.failures[len(n.failures)-1]+l.FlapWindow <= now
}

// DrainPurpose is why a group is being drained.
type DrainPurpose uint8

// The purposes of a drain.
const (
	notDraining    DrainPurpose = iota
	drainReplace                // one member is replaced by a loaded spare
	drainRoll                   // the members load another version
	drainDissolve               // the group is dissolved
	drainInherited              // an earlier leader took the group out of service, for a reason that is not in the log
)

// groupRecord is what the planner remembers of one epoch of a group.
type groupRecord struct {
	epoch          sardine.Epoch
	state          sardine.GroupState
	since          sardine.Millis // when it entered the state
	downSince      sardine.Millis // when it last stopped serving, 0 while it serves
	drain          DrainPurpose
	drainAt        sardine.Millis // when this leader began or inherited the drain
	replacedMember sardine.VMID   // the member that is being replaced
	epochBehind    bool           // an engine holds a higher epoch than the group
	served         bool           // has served under this leader, under any epoch
	placement      string         // why the group is in its domain
	reason         string         // of the last decision
}

// pendingCommands tracks the proposed and unanswered commands of a group.
type pendingCommands struct {
	commands int
	at       sardine.Millis
	vms      []sardine.VMID
}
