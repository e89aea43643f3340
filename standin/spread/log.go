package spread

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// startElection begins a new term as a candidate and requests the votes of the
// other control nodes.
func (c *control) startElection() {
	c.term++
	c.votes = map[sardine.NodeID]bool{c.id: true}
	c.resetElectionTimeout()
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindVote, Term: c.term})
		}
	}
	c.countVotes()
}

// stepDown adopts a later term, and ends the leadership of this node.
func (c *control) stepDown(term uint64) {
	if term > c.term {
		c.term = term
		c.votes = nil
		c.leader = ""
	}
	if c.leading {
		c.leading, c.ready = false, false
		c.ledger.Resign()
		c.server.Resign("")
		c.failWaiting()
		c.resetElectionTimeout()
	}
}

// failWaiting replies to all waiting calls, except polls, that this node is not
// the leader.
func (c *control) failWaiting() {
	for _, index := range sortedIndexes(c.waiting) {
		for _, to := range c.waiting[index] {
			c.reply(to, result{Code: codes.NotLeader})
		}
	}
	for _, h := range c.heldChanges {
		c.reply(h.caller, result{Code: codes.NotLeader})
	}
	for _, r := range c.rounds {
		for _, q := range r.reads {
			c.reply(q.caller, result{Code: codes.NotLeader})
		}
	}
	polls := c.polls
	c.clearPending()
	c.polls = polls
}

func sortedIndexes(waits map[uint64][]caller) []uint64 {
	all := make([]uint64, 0, len(waits))
	for index := range waits {
		all = append(all, index)
	}
	slices.Sort(all)
	return all
}

func (c *control) receiveLog(from sardine.NodeID, m Message) {
	if m.Term < c.term {
		return
	}
	switch m.Kind {
	case kindVote:
		c.vote(from)
	case kindVoteReply:
		if c.votes != nil && !c.leading {
			c.votes[from] = true
			c.countVotes()
		}
	case kindAppend:
		c.leader = from
		c.votes = nil
		c.resetElectionTimeout()
		c.w.send(c.id, from, Message{Kind: kindAppendReply, Term: c.term, Index: m.Index})
		c.apply(m.Commit)
	case kindAppendReply:
		c.acked[from] = max(c.acked[from], m.Index)
		c.advance()
	}
}

// vote grants the vote to the first candidate of this term.
func (c *control) vote(from sardine.NodeID) {
	if c.votes == nil && c.leader == "" {
		c.votes = map[sardine.NodeID]bool{from: true}
		c.resetElectionTimeout()
		c.w.send(c.id, from, Message{Kind: kindVoteReply, Term: c.term})
	}
}

// countVotes makes a candidate with a majority the leader.
func (c *control) countVotes() {
	if c.leading || !c.votes[c.id] || 2*len(c.votes) <= len(c.w.controlIDs) {
		return
	}
	c.leading, c.ready = true, false
	c.leader = c.id
	c.w.log.term = c.term
	c.clearPending()
	c.firstIndex = c.w.log.append(c.term, c.wallTime(), nil)
	c.replicate()
}

func (c *control) wallTime() state.WallTime {
	return state.WallTime(c.w.driver.Now())
}

// replicate sends the last index and the commit index to the other control
// nodes.
func (c *control) replicate() {
	c.heartbeatAt = c.now + heartbeatInterval
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindAppend, Term: c.term, Index: c.w.log.last(), Commit: c.commit})
		}
	}
	c.advance()
}

// advance commits what a majority holds, if that includes an entry of the
// leader's own term.
func (c *control) advance() {
	if !c.leading || c.w.log.term != c.term {
		return
	}
	held := []uint64{c.w.log.last()}
	for _, other := range c.w.controlIDs {
		if other != c.id {
			held = append(held, c.acked[other])
		}
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	if index >= c.firstIndex && index > c.commit {
		c.apply(index)
		c.beginTerm()
		c.replicate()
	}
}

// beginTerm starts the ledger and the server once the term's first entry is
// applied.
func (c *control) beginTerm() {
	if c.ready || !c.leading || c.machine.Index() < c.firstIndex {
		return
	}
	c.ready = true
	c.ledger.Lead(c.now, c.term, c.machine.Index(), c.machine.Entries())
	for _, name := range c.machine.Teams() {
		for _, r := range c.machine.History(name) {
			c.ledger.RecordRevision(name, r.Index, c.w.policy(r.Document))
		}
	}
	c.server.Lead(c.term)
	c.w.termBegun()
}

// apply applies the committed entries.
func (c *control) apply(commit uint64) {
	c.commit = max(c.commit, commit)
	for index := c.machine.Index() + 1; index <= c.commit; index++ {
		e := c.w.log.at(index)
		if e.command == nil {
			c.machine.Skip(index)
			c.server.Applied(index, e.at, nil)
			continue
		}
		r := c.machine.Apply(index, e.at, e.command)
		c.server.Applied(index, e.at, e.command)
		c.entryApplied(index, e.command, r)
	}
}

// entryApplied reports an entry's result to the ledger and to the waiting
// callers.
func (c *control) entryApplied(index uint64, command state.Command, r state.Result) {
	callers := c.waiting[index]
	delete(c.waiting, index)
	if !c.ready {
		return
	}
	switch command := command.(type) {
	case state.JoinEntry:
		if r.Err == nil {
			c.ledger.RecordJoin(command)
		}
	case state.LeaveEntry:
		if r.Err == nil {
			c.ledger.RecordLeave(command.Node, command.Incarnation)
		}
	case state.ChangeSettings:
		if r.Err == nil && !r.Repeat {
			c.ledger.RecordRevision(command.Team, index, c.w.policy(command.Document))
		}
		c.changeApplied(callers, command, r)
		return
	}
	for _, to := range callers {
		c.reply(to, result{Code: codes.Of(r.Err)})
	}
}

// changeApplied replies to a change that lost its race, and holds one that took
// effect until it is in force.
func (c *control) changeApplied(callers []caller, command state.ChangeSettings, r state.Result) {
	for _, to := range callers {
		if r.Err != nil {
			current, _ := c.machine.Current(command.Team)
			c.reply(to, result{Code: codes.Of(r.Err), Version: current.Version, Change: current.ChangeID})
			continue
		}
		c.holdChange(heldChange{caller: to, team: command.Team, index: r.Index, version: r.Version, until: c.now})
	}
}

// serve processes the calls of entry nodes and operators.
func (c *control) serve(from sardine.NodeID, m Message) {
	to := caller{node: from, call: m.Call}
	if m.Kind == kindFollow {
		c.hintLeader()
		c.w.controlPolls[from]++
		c.nextPoll++
		c.polls[c.nextPoll] = to
		c.server.HandleRequest(c.now, c.nextPoll, c.w.decodeRequest(m.Body))
		return
	}
	if m.Kind == kindCancel {
		c.cancelPoll(to)
		return
	}
	if !c.ready {
		c.reply(to, result{Code: codes.NotLeader, Leader: c.leader})
		return
	}
	switch m.Kind {
	case kindSubmit:
		c.submit(to, m.Command)
	case kindChange:
		c.change(to, m.Command)
	case kindRead:
		if change, ok := m.Command.(state.ChangeSettings); ok {
			c.startRound(&round{reads: []pendingRead{{caller: to, team: change.Team}}})
		}
	}
}

func (c *control) cancelPoll(canceled caller) {
	for id, to := range c.polls {
		if to == canceled {
			c.server.CancelRequest(id)
			delete(c.polls, id)
		}
	}
}

// hintLeader makes the server name the leader when it rejects polls.
func (c *control) hintLeader() {
	if !c.leading && c.leader != c.id {
		c.server.Resign(string(c.leader))
	}
}

func (c *control) submit(to caller, command state.Command) {
	if join, ok := command.(state.JoinEntry); ok {
		if may, _ := c.ledger.MayJoin(c.now, join); !may {
			c.reply(to, result{Code: codes.MemberBusy})
			return
		}
	}
	c.propose(to, command)
}

// change proposes a change. A resend of a change that was applied waits with it
// until it is in force.
func (c *control) change(to caller, command state.Command) {
	change, ok := command.(state.ChangeSettings)
	if !ok {
		return
	}
	if first, seen := c.machine.Change(change.Team, change.ChangeID); seen {
		c.holdChange(heldChange{caller: to, team: change.Team, index: first.Index, version: first.Version, until: c.now})
		return
	}
	if _, err := team.Parse(change.Team, change.Document); err != nil {
		c.reply(to, result{Code: codes.Of(err)})
		return
	}
	c.propose(to, command)
}

// holdChange holds a change until it is in force. It replaces the operator's
// previous held change, so that a resend is answered once.
func (c *control) holdChange(h heldChange) {
	c.heldChanges = slices.DeleteFunc(c.heldChanges, func(old heldChange) bool { return old.caller.node == h.caller.node })
	c.heldChanges = append(c.heldChanges, h)
}

// propose appends a command to the log and registers the caller for its result.
func (c *control) propose(to caller, command state.Command) {
	index := c.w.log.append(c.term, c.wallTime(), command)
	if index == 0 {
		index = math.MaxUint64 // a later term has begun; stepDown replies to the caller
	}
	c.waiting[index] = append(c.waiting[index], to)
	c.replicate()
}
