package spread

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

const (
	joinTimeout       = 1 * sardine.Second
	joinRetryInterval = 200 * sardine.Millis(1)
)

// servedSettings is what a view has of one team's settings.
type servedSettings struct {
	version sardine.Version
	policy  sardine.CutPolicy
}

// view is the published state by which an entry node admits requests.
type view struct {
	index uint64
	teams map[sardine.Team]servedSettings
	lease follow.Lease
}

// call is a poll in progress.
type call struct {
	to       sardine.NodeID
	sequence uint64
	until    sardine.Millis
}

// node is one entry node.
type node struct {
	id              sardine.NodeID // address
	name            sardine.NodeID // shared by two processes at different addresses if one replaces the other
	w               *World
	centre          sardine.DataCentre
	now             sardine.Millis
	incarnation     sardine.Incarnation
	follower        *follow.Follower
	view            view
	calls           map[uint64]call
	nextCall        uint64
	polls           map[uint64]caller // callers by the poll numbers of the relay
	nextPoll        uint64
	joinCall        uint64
	joinAt          sardine.Millis // when to send the next JoinEntry, if joining
	joining         bool
	admitAt         sardine.Millis
	reportAt        sardine.Millis
	measuredChange  string                           // id of the last change that Change has recorded as published
	highestVersions map[sardine.Team]sardine.Version // served by this incarnation
}

func newNode(w *World, id sardine.NodeID, centre sardine.DataCentre) *node {
	return &node{id: id, name: id, w: w, centre: centre}
}

// Start starts a new incarnation without state.
func (n *node) Start(now sardine.Millis) {
	n.now = now
	n.incarnation++
	self := follow.NodeRef{Node: n.name, Incarnation: n.incarnation}
	n.follower = follow.NewFollower(self, string(n.id), n.w.controlNames(), n.w.random(), follow.WithDefect(n.w.options.Follow), follow.WithTiming(n.w.followTiming()))
	n.view = view{teams: make(map[sardine.Team]servedSettings)}
	n.calls = make(map[uint64]call)
	n.polls = make(map[uint64]caller)
	n.highestVersions = make(map[sardine.Team]sardine.Version)
	n.joining, n.joinAt = true, now
	n.admitAt = now + sardine.Millis(n.w.random().IntN(100))
	n.reportAt = now + sardine.Millis(n.w.random().IntN(int(reportInterval)))
	n.flush()
}

// Crash ends the incarnation.
func (n *node) Crash() {
	n.view = view{}
}

// Receive processes a message.
func (n *node) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	n.now = now
	switch m.Kind {
	case kindFollow:
		n.nextPoll++
		n.polls[n.nextPoll] = caller{node: from, call: m.Call}
		n.follower.Relay().HandleRequest(now, n.nextPoll, n.w.decodeRequest(m.Body))
	case kindCancel:
		for id, to := range n.polls {
			if to == (caller{node: from, call: m.Call}) {
				n.follower.Relay().CancelRequest(id)
				delete(n.polls, id)
			}
		}
	case kindFollowReply:
		n.handleReply(m)
	case kindResult:
		if m.Call == n.joinCall && n.joining {
			n.joining = m.Result.Code != codes.OK
			n.joinAt = now + joinRetryInterval
		}
	}
	n.flush()
}

// handleReply passes the reply to a poll to the follower.
func (n *node) handleReply(m Message) {
	c, waits := n.calls[m.Call]
	if !waits {
		return
	}
	delete(n.calls, m.Call)
	outcome, err := n.follower.HandleReply(n.now, c.sequence, n.w.decodeReply(m.Body))
	if err != nil {
		n.w.addViolation("entry node %s can't handle a reply: %v", n.id, err)
	}
	n.handleOutcome(outcome)
}

// handleOutcome acts on the result of a poll. It publishes a changed state
// after a random delay, unless Options.NoRandomDelays is set.
func (n *node) handleOutcome(o follow.Outcome) {
	if o.Join && !n.joining {
		n.joining, n.joinAt = true, n.now
	}
	// A lease doesn't count for a view that is older than the floor of its
	// grant, so it need not wait for the next view.
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
			n.flush()
		}
	})
}

// publish makes the followed state and lease those by which requests are
// admitted.
func (n *node) publish() {
	m := n.follower.Machine()
	if m.Index() > n.view.index {
		n.view = view{index: m.Index(), teams: n.servedTeams(m)}
		n.follower.MarkPublished(m.Index())
	}
	n.view.lease = n.follower.Lease()
	n.w.nodePublished(n)
}

// servedTeams returns each team's settings in the followed state, and checks
// that no version is lower than one that this incarnation had before.
func (n *node) servedTeams(m *state.Machine) map[sardine.Team]servedSettings {
	teams := make(map[sardine.Team]servedSettings)
	for _, name := range m.Teams() {
		r, _ := m.Current(name)
		if r.Version < n.highestVersions[name] {
			n.w.addViolation("entry node %s went back from version %d to %d of team %s", n.id, n.highestVersions[name], r.Version, name)
		}
		n.highestVersions[name] = r.Version
		teams[name] = servedSettings{version: r.Version, policy: n.w.policy(r.Document)}
	}
	return teams
}

// Tick processes the timeouts that are due.
func (n *node) Tick(now sardine.Millis) {
	n.now = now
	for _, id := range n.expiredCalls() {
		c := n.calls[id]
		delete(n.calls, id)
		n.w.send(n.id, c.to, Message{Kind: kindCancel, Call: id})
		n.handleOutcome(n.follower.HandleFailure(now, c.sequence))
	}
	if now >= n.admitAt {
		n.admitAt = now + n.w.admitInterval()
		n.w.admit(n)
	}
	if n.w.options.Targets > 0 && now >= n.reportAt {
		n.reportAt = now + reportInterval
		n.report()
	}
	n.flush()
}

// expiredCalls returns the polls that have timed out, in the order of their
// numbers.
func (n *node) expiredCalls() []uint64 {
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

// flush sends the polls of the follower and the replies of its relay.
func (n *node) flush() {
	if n.joining && n.now >= n.joinAt {
		n.sendJoin()
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

func (n *node) sendJoin() {
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

// staleTeam returns a team that the node would serve by an older version than
// the accepted one, at an instant of its own clock.
func (n *node) staleTeam(now sardine.Millis, accepted map[sardine.Team]sardine.Version) (sardine.Team, bool) {
	for name, version := range accepted {
		s, known := n.view.teams[name]
		if !known {
			s = servedSettings{policy: sardine.CutRefuseRequests}
		}
		if s.version < version && n.view.lease.ServingTeam(now, s.policy) {
			return name, true
		}
	}
	return "", false
}
