package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/route"
)

// isChange reports whether an announcement contains more than a changed load.
func isChange(before fleet.Status, known bool, a sardine.Announcement) bool {
	return !known || before.Incarnation != a.Incarnation || before.Leaving != a.Leaving || before.CurrentOrder != a.CurrentOrder
}

// nextReport returns the next target report, if there is one to send. A changed
// load alone waits until a poll is about to be sent, which sending says.
func (n *Node) nextReport(now sardine.Millis, sending bool) (fleet.Report, bool) {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	if !sending && !n.homeChanged {
		return fleet.Report{}, false
	}
	n.homeChanged = false
	return n.home.Report(now)
}

// stillCurrent checks a choice again just before its dispatch, against the
// newest view and against announcements received by this node, which the view
// contains only after a round trip through the log. If the check fails, the
// choice is released.
func (n *Node) stillCurrent(choice *route.Choice) error {
	v := n.view()
	if v.current(choice.Candidate) && !n.leavingHere(v, choice.Candidate) {
		return nil
	}
	n.gate.finish(choice, route.DispatchResult{Canceled: true})
	return codes.New(codes.NoTarget, "the chosen target has just left")
}

// leavingHere reports whether the target or a member of its group has announced
// to this node that it leaves.
func (n *Node) leavingHere(v *view, c route.Candidate) bool {
	now := n.clock.Now()
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	for _, member := range v.processes(c) {
		if s, known := n.home.Target(now, member.VM); known && s.Leaving {
			return true
		}
	}
	return false
}

// ackReport records the acknowledgement of a target report.
func (n *Node) ackReport(a fleet.Ack) {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	n.home.Acknowledge(a)
}

// wakeFollow makes the follow loop check for changes at once.
func (n *Node) wakeFollow() {
	select {
	case n.follower.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
