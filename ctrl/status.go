package ctrl

import (
	"net/http"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
)

// handleStatus answers with the status of the site as this node knows it.
func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	text, err := status.Encode(n.Report())
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the operator repeats a failed request
}

// Report returns the status of the site as this node knows it.
func (n *Node) Report() status.Report {
	info := n.log.Leader()
	in := status.Input{
		Node:   n.id,
		Role:   status.RoleControl,
		Site:   n.site,
		At:     state.WallTime(time.Now().UnixMilli()),
		Leader: info.ID,
		Peers:  n.peers(),
	}
	if info.ID == "" {
		in.LeaderlessFor = n.clock.Now() - info.Since
	}
	var r status.Report
	n.log.View(func(m *state.Machine) {
		n.leadership.addStatus(n.clock.Now(), m, &in)
		n.historyMu.Lock()
		defer n.historyMu.Unlock()
		r = status.Build(m, in, n.history)
	})
	return r
}

// historyInterval is the time between two updates of the history. Times in a report
// are exact to this interval.
const historyInterval = sardine.Second

// historyLoop records since when the parts of the site are in their current state, and
// logs a missing leader, until the node stops.
func (n *Node) historyLoop() error {
	leaderless := &leaderlessLog{}
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(historyInterval):
			n.Report()
			n.logLeaderless(leaderless)
		}
	}
}

// peers returns the control members and which of them respond. Only the leader knows
// that of the others, and of the voters a voter without a leader; another node lists
// them as reachable.
func (n *Node) peers() []status.Peer {
	info := n.log.Leader()
	s := n.log.Status()
	observed := map[sardine.NodeID]bool{n.id: true} // and whether the member is reachable
	applied := map[sardine.NodeID]uint64{n.id: s.Applied}
	for _, p := range s.Core.Peers {
		observed[p.Node] = p.Answers
		applied[p.Node] = p.Match
	}
	for _, k := range s.Core.Contacts {
		observed[k.Node] = k.Answers
	}
	var peers []status.Peer
	for _, m := range n.log.Members() {
		reachable, known := observed[m.Node]
		peers = append(peers, status.Peer{
			Node: m.Node, Address: m.Address, Leader: m.Node == info.ID, Learner: m.Learner,
			Reachable: reachable || !known, Observed: known, Applied: applied[m.Node],
		})
	}
	return peers
}

// addStatus adds what only the leader knows: leases, live targets and what the planner
// waits for.
func (l *leadership) addStatus(now sardine.Millis, m *state.Machine, in *status.Input) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return
	}
	for _, h := range l.ledger.Holders() {
		in.Leases = append(in.Leases, status.EntryLease{Node: h.Entry.Node, Held: h.Live(now), Applied: h.Applied})
	}
	view := l.fleet.At(now)
	for _, t := range m.Targets() {
		live, known := view.Live(t.VM)
		in.Announced = append(in.Announced, status.AnnouncedTarget{
			VM:          t.VM,
			Incarnation: t.Incarnation,
			Present:     !view.Settled() || (known && live.Incarnation == t.Incarnation),
			Leaving:     t.Leaving,
			Load:        live.Load,
		})
	}
	for _, w := range l.waits {
		if w.Group != "" {
			in.PlannerActions = append(in.PlannerActions, status.PlannerAction{Group: w.Group, Text: w.Reason})
		}
	}
	if l.planError != nil {
		in.PlannerActions = append(in.PlannerActions, status.PlannerAction{Text: codes.InvariantBroken.Row().Meaning})
	}
}
