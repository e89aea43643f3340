package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/route"
)

// notable reports whether an announcement tells more than a changed load.
func notable(before fleet.Status, known bool, a sardine.Announcement) bool {
	return !known || before.Incarnation != a.Incarnation || before.Leaving != a.Leaving || before.Holding != a.Holding
}

// nextReport returns what the home has to tell. A changed load alone waits until
// a request goes out anyway; sending lets it come along.
func (n *Node) nextReport(now sardine.Millis, sending bool) (fleet.Report, bool) {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	if !sending && !n.homeNews {
		return fleet.Report{}, false
	}
	n.homeNews = false
	return n.home.Report(now)
}

// stillCurrent checks a choice once more before its dispatch: against the newest
// view, and against what targets told this node itself, which the view shows
// only after a round through the log. A choice that fails is given back.
func (n *Node) stillCurrent(choice *route.Choice) error {
	v := n.view()
	if v.current(choice.Candidate) && !n.leavingHere(v, choice.Candidate) {
		return nil
	}
	n.gate.finish(choice, route.End{Abort: true})
	return codes.New(codes.NoTarget, "the chosen target has just left")
}

// leavingHere reports whether the target, or a member of the group, has told this
// node that it leaves.
func (n *Node) leavingHere(v *view, c route.Candidate) bool {
	now := n.clock.Now()
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	for _, member := range v.crew(c) {
		if s, known := n.home.Target(now, member.VM); known && s.Leaving {
			return true
		}
	}
	return false
}

// ackReport takes the answer to a report.
func (n *Node) ackReport(a fleet.Ack) {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	n.home.Acked(a)
}

// wakeFollow makes the follow duty look for news at once.
func (n *Node) wakeFollow() {
	select {
	case n.follower.wake <- struct{}{}:
	default: // it will look anyway
	}
}
