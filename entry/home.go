package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
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
