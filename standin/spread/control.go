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
	heartbeat    = sardine.Millis(100)
	electionLow  = 500 // milliseconds without a leader
	electionMore = 400
	roundTimeout = 800 * sardine.Millis(1)
)

// control is one control node: a stand-in for the log with the real machine,
// ledger and server.
type control struct {
	id      sardine.NodeID
	w       *World
	now     sardine.Millis
	machine *state.Machine
	ledger  *lease.Ledger
	server  *follow.Server

	term     uint64
	votes    map[sardine.NodeID]bool // for its own candidacy, nil if none
	leading  bool                    // elected in term
	ready    bool                    // the first entry of the term is applied
	first    uint64                  // its index
	leader   sardine.NodeID
	commit   uint64
	acked    map[sardine.NodeID]uint64
	electAt  sardine.Millis
	beatAt   sardine.Millis
	round    uint64
	rounds   map[uint64]*round
	polls    map[uint64]caller // server's poll to its asker
	nextPoll uint64
	waits    map[uint64][]caller // index to those who wait for its result
	held     []heldChange
	busyTill sardine.Millis // end of the work on the polls that have arrived
}

// caller is who gets an answer.
type caller struct {
	node sardine.NodeID
	call uint64
}

// round is one confirmation of leadership under way.
type round struct {
	acks  map[sardine.NodeID]bool
	polls []uint64
	reads []read
	until sardine.Millis
}

type read struct {
	caller caller
	team   sardine.Team
}

// heldChange is a committed change that is not yet in force everywhere.
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

// Start begins a life from the durable state.
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
		follow.WithServerTiming(c.w.timing()),
	)
	c.server.Restored(c.machine.Index())
	c.leading, c.ready, c.leader = false, false, ""
	c.votes = map[sardine.NodeID]bool{"": true} // its vote in this term may be given
	c.commit = c.machine.Index()
	c.clear()
	c.deferElection()
}

func (c *control) clear() {
	c.rounds = make(map[uint64]*round)
	c.polls = make(map[uint64]caller)
	c.waits = make(map[uint64][]caller)
	c.acked = make(map[sardine.NodeID]uint64)
	c.held = nil
}

// Crash ends a life; the term, the vote and the applied entries are durable.
func (c *control) Crash() {
	c.clear()
}

func (c *control) deferElection() {
	c.electAt = c.now + sardine.Millis(electionLow+c.w.random().IntN(electionMore))
}

// Receive takes a message.
func (c *control) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	if m.Kind == kindFollow && c.w.options.PollCost > 0 {
		c.queue(now, from, m)
		return
	}
	c.take(now, from, m)
}

// queue takes a poll once the polls before it and its own work are done.
func (c *control) queue(now sardine.Millis, from sardine.NodeID, m Message) {
	c.busyTill = max(c.busyTill, now) + c.w.options.PollCost
	c.w.driver.After(c.id, c.busyTill-now, func(now sardine.Millis) { c.take(now, from, m) })
}

func (c *control) take(now sardine.Millis, from sardine.NodeID, m Message) {
	c.now = now
	if m.Term > c.term {
		c.stepDown(m.Term)
	}
	switch m.Kind {
	case kindVote, kindVoted, kindAppend, kindAppended:
		c.receiveLog(from, m)
	case kindRound:
		if m.Term == c.term {
			c.w.send(c.id, from, Message{Kind: kindRounded, Term: c.term, Round: m.Round})
		}
	case kindRounded:
		c.rounded(from, m)
	default:
		c.serve(from, m)
	}
	c.pump()
}

// Tick lets time pass.
func (c *control) Tick(now sardine.Millis) {
	c.now = now
	if c.leading && now >= c.beatAt {
		c.replicate()
	}
	if !c.leading && now >= c.electAt {
		c.stand()
	}
	for id, r := range c.rounds {
		if now >= r.until {
			c.failRound(id, r)
		}
	}
	c.pump()
}

// Wake returns when Tick is due.
func (c *control) Wake() sardine.Millis {
	if !c.leading {
		return c.electAt
	}
	next := min(c.beatAt, c.server.Wake())
	for _, r := range c.rounds {
		next = min(next, r.until)
	}
	for _, h := range c.held {
		next = min(next, h.until)
	}
	return next
}

// pump performs what the cores have ready.
func (c *control) pump() {
	if c.ready {
		if ids := c.server.TakeUnconfirmed(); len(ids) > 0 {
			c.startRound(&round{polls: ids})
		}
		c.settle()
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
	c.round++
	r.acks = map[sardine.NodeID]bool{c.id: true}
	r.until = c.now + roundTimeout
	c.rounds[c.round] = r
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindRound, Term: c.term, Round: c.round})
		}
	}
}

func (c *control) rounded(from sardine.NodeID, m Message) {
	r, waits := c.rounds[m.Round]
	if !waits || m.Term != c.term || !c.leading {
		return
	}
	r.acks[from] = true
	if 2*len(r.acks) <= len(c.w.controlIDs) {
		return
	}
	delete(c.rounds, m.Round)
	c.server.ConfirmPolls(c.now, r.polls)
	for _, q := range r.reads {
		current, _ := c.machine.Current(q.team)
		c.reply(q.caller, result{Version: current.Version, Change: current.ChangeID})
	}
}

// failRound gives up a round; a leader that can't confirm steps down.
func (c *control) failRound(id uint64, r *round) {
	delete(c.rounds, id)
	c.server.FailPolls(r.polls, codes.NoQuorum, "no majority answers")
	if c.leading {
		c.stepDown(c.term)
	}
}

func (c *control) reply(to caller, r result) {
	c.w.send(c.id, to.node, Message{Kind: kindResult, Call: to.call, Result: r})
}

// settle answers the changes that are in force now.
func (c *control) settle() {
	kept := c.held[:0]
	for _, h := range c.held {
		v := c.ledger.InForceTeam(c.now, h.team, h.index)
		if v.InForce {
			c.w.accepted(h.team, h.version)
			c.reply(h.caller, result{Version: h.version})
			continue
		}
		h.until = v.Until
		if h.until == math.MaxInt64 {
			h.until = c.now + heartbeat
		}
		kept = append(kept, h)
	}
	c.held = kept
}
