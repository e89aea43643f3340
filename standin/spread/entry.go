package spread

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

const (
	joinTimeout = 1 * sardine.Second
	joinPause   = 200 * sardine.Millis(1)
)

// served is one team's settings in a view.
type served struct {
	version sardine.Version
	policy  sardine.CutPolicy
}

// view is what an entry node admits requests by.
type view struct {
	index uint64
	teams map[sardine.Team]served
	lease follow.Lease
}

// call is a poll under way.
type call struct {
	to       sardine.NodeID
	sequence uint64
	until    sardine.Millis
}

// node is one entry node.
type node struct {
	id          sardine.NodeID // address
	name        sardine.NodeID // two processes with one name have different addresses
	w           *World
	centre      sardine.DataCentre
	now         sardine.Millis
	incarnation sardine.Incarnation
	follower    *follow.Follower
	view        view
	calls       map[uint64]call
	nextCall    uint64
	polls       map[uint64]caller // relay's poll to its asker
	nextPoll    uint64
	joinCall    uint64
	joinAt      sardine.Millis // when to send a JoinEntry, if joining
	joining     bool
	admitAt     sardine.Millis
	reportAt    sardine.Millis
	fresh       string                           // change id of the last change that the measurement saw
	highest     map[sardine.Team]sardine.Version // served by this incarnation
}

func newNode(w *World, id sardine.NodeID, centre sardine.DataCentre) *node {
	return &node{id: id, name: id, w: w, centre: centre}
}

// Start begins a new incarnation with no state.
func (n *node) Start(now sardine.Millis) {
	n.now = now
	n.incarnation++
	self := follow.NodeRef{Node: n.name, Incarnation: n.incarnation}
	n.follower = follow.NewFollower(self, string(n.id), n.w.controlNames(), n.w.random(), follow.WithDefect(n.w.options.Follow), follow.WithTiming(n.w.timing()))
	n.view = view{teams: make(map[sardine.Team]served)}
	n.calls = make(map[uint64]call)
	n.polls = make(map[uint64]caller)
	n.highest = make(map[sardine.Team]sardine.Version)
	n.joining, n.joinAt = true, now
	n.admitAt = now + sardine.Millis(n.w.random().IntN(100))
	n.reportAt = now + sardine.Millis(n.w.random().IntN(int(reportPause)))
	n.pump()
}

// Crash ends the incarnation.
func (n *node) Crash() {
	n.view = view{}
}

// Receive takes a message.
func (n *node) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	n.now = now
	switch m.Kind {
	case kindFollow:
		n.nextPoll++
		n.polls[n.nextPoll] = caller{node: from, call: m.Call}
		n.follower.Relay().HandleRequest(now, n.nextPoll, n.w.decodeRequest(m.Body))
	case kindGone:
		for id, to := range n.polls {
			if to == (caller{node: from, call: m.Call}) {
				n.follower.Relay().CancelRequest(id)
				delete(n.polls, id)
			}
		}
	case kindFollowed:
		n.followed(m)
	case kindResult:
		if m.Call == n.joinCall && n.joining {
			n.joining = m.Result.Code != codes.OK
			n.joinAt = now + joinPause
		}
	}
	n.pump()
}

func (n *node) followed(m Message) {
	c, waits := n.calls[m.Call]
	if !waits {
		return
	}
	delete(n.calls, m.Call)
	outcome, err := n.follower.HandleReply(n.now, c.sequence, n.w.decodeReply(m.Body))
	if err != nil {
		n.w.breach("entry node %s can't read an answer: %v", n.id, err)
	}
	n.note(outcome)
}

func (n *node) note(o follow.Outcome) {
	if o.Join && !n.joining {
		n.joining, n.joinAt = true, n.now
	}
	// The floor of a grant keeps a lease from counting for a view that is too
	// old for it, so the lease need not wait for the next view.
	n.view.lease = n.follower.Lease()
	if o.Superseded {
		n.follower.Leave()
		n.view.lease = n.follower.Lease()
	}
	if !o.Restored && len(o.Updates) == 0 {
		n.publish()
		return
	}
	delay := n.w.publishDelay()
	if delay == 0 {
		n.publish()
		return
	}
	incarnation := n.incarnation
	n.w.driver.After(n.id, delay, func(now sardine.Millis) {
		if n.incarnation == incarnation {
			n.now = now
			n.publish()
			n.pump()
		}
	})
}

// publish serves by what the machine holds now.
func (n *node) publish() {
	m := n.follower.Machine()
	if m.Index() > n.view.index {
		n.view = view{index: m.Index(), teams: n.teams(m)}
		n.follower.MarkPublished(m.Index())
	}
	n.view.lease = n.follower.Lease()
	n.w.inForceAt(n)
}

func (n *node) teams(m *state.Machine) map[sardine.Team]served {
	teams := make(map[sardine.Team]served)
	for _, name := range m.Teams() {
		r, _ := m.Current(name)
		if r.Version < n.highest[name] {
			n.w.breach("entry node %s went back from version %d to %d of team %s", n.id, n.highest[name], r.Version, name)
		}
		n.highest[name] = r.Version
		teams[name] = served{version: r.Version, policy: n.w.policy(r.Document)}
	}
	return teams
}

// Tick lets time pass.
func (n *node) Tick(now sardine.Millis) {
	n.now = now
	for _, id := range n.expired() {
		c := n.calls[id]
		delete(n.calls, id)
		n.w.send(n.id, c.to, Message{Kind: kindGone, Call: id})
		n.note(n.follower.HandleFailure(now, c.sequence))
	}
	if now >= n.admitAt {
		n.admitAt = now + n.w.admitPause()
		n.w.admit(n)
	}
	if n.w.options.Targets > 0 && now >= n.reportAt {
		n.reportAt = now + reportPause
		n.report()
	}
	n.pump()
}

func (n *node) expired() []uint64 {
	var ids []uint64
	for id, c := range n.calls {
		if n.now >= c.until {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Wake returns when Tick is due.
func (n *node) Wake() sardine.Millis {
	next := min(n.follower.Wake(), n.admitAt)
	if n.joining {
		next = min(next, n.joinAt)
	}
	for _, c := range n.calls {
		next = min(next, c.until)
	}
	return next
}

// pump sends what the follower and its relay have ready.
func (n *node) pump() {
	if n.joining && n.now >= n.joinAt {
		n.join()
	}
	for {
		ask, ok := n.follower.Next(n.now)
		if !ok {
			break
		}
		n.nextCall++
		n.calls[n.nextCall] = call{to: sardine.NodeID(ask.Address), sequence: ask.Request.Sequence, until: n.now + ask.Timeout}
		n.w.sendRequest(n.id, sardine.NodeID(ask.Address), n.nextCall, ask.Request)
	}
	for _, a := range n.follower.Relay().TakeReplies() {
		to, known := n.polls[a.ID]
		delete(n.polls, a.ID)
		if known {
			n.w.sendReply(n.id, to.node, to.call, a.Reply)
		}
	}
}

func (n *node) join() {
	n.nextCall++
	n.joinCall = n.nextCall
	n.joinAt = n.now + joinTimeout
	n.w.send(n.id, sardine.NodeID(n.follower.ControlAddress()), Message{Kind: kindSubmit, Call: n.joinCall, Command: state.JoinEntry{
		Node:        n.name,
		Incarnation: n.incarnation,
		Address:     string(n.id),
		DataCentre:  n.centre,
	}})
}

// stale returns a team that the node would serve by an older version than
// accepted, at an instant of its own clock.
func (n *node) stale(now sardine.Millis, accepted map[sardine.Team]sardine.Version) (sardine.Team, bool) {
	for name, version := range accepted {
		s, known := n.view.teams[name]
		if !known {
			s = served{policy: sardine.CutRefuseRequests}
		}
		if s.version < version && n.view.lease.ServingTeam(now, s.policy) {
			return name, true
		}
	}
	return "", false
}
