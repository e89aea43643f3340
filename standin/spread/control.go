package spread

import (
	"math"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

const (
	heartbeatInterval    = sardine.Millis(100)
	minElectionTimeout   = 500 // milliseconds without contact with a leader
	electionTimeoutRange = 400
	roundTimeout         = 800 * sardine.Millis(1)
)

// control is one control node: a stand-in for consensus with the production
// state machine, lease ledger and follow server.
type control struct {
	id      sardine.NodeID
	w       *World
	now     sardine.Millis
	machine *state.Machine
	ledger  *lease.Ledger
	server  *follow.Server

	term        uint64
	votes       map[sardine.NodeID]bool // received as a candidate, or the node voted for; nil if it has not voted
	leading     bool                    // elected in term
	ready       bool                    // has applied the first entry of its term
	firstIndex  uint64                  // index of the first entry of its term
	leader      sardine.NodeID
	commit      uint64
	acked       map[sardine.NodeID]uint64
	electionAt  sardine.Millis
	heartbeatAt sardine.Millis
	lastRound   uint64
	rounds      map[uint64]*round
	polls       map[uint64]caller // callers by the poll numbers of the server
	nextPoll    uint64
	waiting     map[uint64][]caller // callers by the log index whose result they wait for
	heldChanges []heldChange
	busyUntil   sardine.Millis // when the polls that have arrived are processed
}

// caller identifies the call to which a reply belongs.
type caller struct {
	node sardine.NodeID
	call uint64
}

// round is a quorum round in progress. It confirms that this node still leads.
type round struct {
	acks  map[sardine.NodeID]bool
	polls []uint64
	reads []pendingRead
	began follow.Confirmation
	until sardine.Millis
}

// pendingRead is a read that waits for a quorum round.
type pendingRead struct {
	caller caller
	team   sardine.Team
}

// heldChange is a committed change that is not yet in force on all entry nodes.
type heldChange struct {
	caller  caller
	team    sardine.Team
	index   uint64
	version sardine.Version
	until   sardine.Millis
}

func newControl(w *World, id sardine.NodeID) *control {
	return &control{id: id, w: w, machine: state.NewMachine()}
}

// Start starts the node from its durable state.
func (c *control) Start(now sardine.Millis) {
	c.now = now
	c.machine = c.w.restore(c.machine)
	c.ledger = lease.New(c.w.leaseOptions()...)
	c.server = follow.NewServer(
		c.ledger,
		follow.WithSnapshot(func() ([]byte, uint64, error) {
			b, err := c.machine.EntrySnapshot()
			return b, c.machine.Index(), err
		}),
		follow.WithServerDefect(c.w.options.Follow),
		follow.WithServerTiming(c.w.followTiming()),
	)
	c.server.Restored(c.machine.Index())
	c.leading, c.ready, c.leader = false, false, ""
	c.votes = map[sardine.NodeID]bool{"": true} // it may have voted in this term already
	c.commit = c.machine.Index()
	c.clearPending()
	c.resetElectionTimeout()
}

// clearPending drops everything that waits for a result.
func (c *control) clearPending() {
	c.rounds = make(map[uint64]*round)
	c.polls = make(map[uint64]caller)
	c.waiting = make(map[uint64][]caller)
	c.acked = make(map[sardine.NodeID]uint64)
	c.heldChanges = nil
}

// Crash drops the volatile state. The term and the applied entries are durable;
// Start counts the vote as given.
func (c *control) Crash() {
	c.clearPending()
}

func (c *control) resetElectionTimeout() {
	c.electionAt = c.now + sardine.Millis(minElectionTimeout+c.w.random().IntN(electionTimeoutRange))
}

// Receive processes a message. Polls are queued if they cost processor time.
func (c *control) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	if m.Kind == kindFollow && c.w.options.PollCost > 0 {
		c.queuePoll(now, from, m)
		return
	}
	c.process(now, from, m)
}

// queuePoll processes a poll after the polls before it and the time that it
// costs itself.
func (c *control) queuePoll(now sardine.Millis, from sardine.NodeID, m Message) {
	c.busyUntil = max(c.busyUntil, now) + c.w.options.PollCost
	c.w.driver.After(c.id, c.busyUntil-now, func(now sardine.Millis) { c.process(now, from, m) })
}

func (c *control) process(now sardine.Millis, from sardine.NodeID, m Message) {
	c.now = now
	if m.Term > c.term {
		c.stepDown(m.Term)
	}
	switch m.Kind {
	case kindVote, kindVoteReply, kindAppend, kindAppendReply:
		c.receiveLog(from, m)
	case kindRound:
		if m.Term == c.term {
			c.w.send(c.id, from, Message{Kind: kindRoundReply, Term: c.term, Round: m.Round})
		}
	case kindRoundReply:
		c.roundReply(from, m)
	default:
		c.serve(from, m)
	}
	c.flush()
}

// Tick processes the timeouts that are due.
func (c *control) Tick(now sardine.Millis) {
	c.now = now
	if c.leading && now >= c.heartbeatAt {
		c.replicate()
	}
	if !c.leading && now >= c.electionAt {
		c.startElection()
	}
	for id, r := range c.rounds {
		if now >= r.until {
			c.failRound(id, r)
		}
	}
	c.flush()
}

// Wake returns when Tick is due.
func (c *control) Wake() sardine.Millis {
	if !c.leading {
		return c.electionAt
	}
	next := min(c.heartbeatAt, c.server.Wake())
	for _, r := range c.rounds {
		next = min(next, r.until)
	}
	for _, h := range c.heldChanges {
		next = min(next, h.until)
	}
	return next
}

// flush starts the quorum rounds and sends the replies that are ready.
func (c *control) flush() {
	if c.ready {
		if ids := c.server.TakeUnconfirmed(c.now); len(ids) > 0 {
			c.startRound(&round{polls: ids})
		}
		c.answerInForce()
	}
	c.server.Tick(c.now)
	for _, a := range c.server.TakeReplies() {
		to, known := c.polls[a.ID]
		delete(c.polls, a.ID)
		if known {
			c.w.sendReply(c.id, to.node, to.call, a.Reply)
		}
	}
}

func (c *control) startRound(r *round) {
	c.lastRound++
	r.acks = map[sardine.NodeID]bool{c.id: true}
	r.until = c.now + roundTimeout
	r.began = follow.Confirmation{At: c.now, Index: c.machine.Index()}
	c.rounds[c.lastRound] = r
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindRound, Term: c.term, Round: c.lastRound})
		}
	}
}

// roundReply counts a node's confirmation. A majority completes the round.
func (c *control) roundReply(from sardine.NodeID, m Message) {
	r, waits := c.rounds[m.Round]
	if !waits || m.Term != c.term || !c.leading {
		return
	}
	r.acks[from] = true
	if 2*len(r.acks) <= len(c.w.controlIDs) {
		return
	}
	delete(c.rounds, m.Round)
	c.server.ConfirmPolls(c.now, r.began, r.polls)
	for _, q := range r.reads {
		current, _ := c.machine.Current(q.team)
		c.reply(q.caller, result{Version: current.Version, Change: current.ChangeID})
	}
}

// failRound ends a round that got no majority. A leader that can't confirm its
// leadership steps down.
func (c *control) failRound(id uint64, r *round) {
	delete(c.rounds, id)
	c.server.FailPolls(r.polls, codes.NoQuorum, "no majority confirmed the leader")
	if c.leading {
		c.stepDown(c.term)
	}
}

func (c *control) reply(to caller, r result) {
	c.w.send(c.id, to.node, Message{Kind: kindResult, Call: to.call, Result: r})
}

// answerInForce replies to the held changes that are in force now.
func (c *control) answerInForce() {
	kept := c.heldChanges[:0]
	for _, h := range c.heldChanges {
		v := c.ledger.InForceTeam(c.now, h.team, h.index)
		if v.InForce {
			c.w.recordAccepted(h.team, h.version)
			c.reply(h.caller, result{Version: h.version})
			continue
		}
		h.until = v.Until
		if h.until == math.MaxInt64 {
			h.until = c.now + heartbeatInterval
		}
		kept = append(kept, h)
	}
	c.heldChanges = kept
}
