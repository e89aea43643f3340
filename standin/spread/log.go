package spread

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// stand asks the other control nodes for their votes.
func (c *control) stand() {
	c.term++
	c.votes = map[sardine.NodeID]bool{c.id: true}
	c.deferElection()
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindVote, Term: c.term})
		}
	}
	c.count()
}

// stepDown follows whoever leads in a term.
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
		c.drop()
		c.deferElection()
	}
}

// drop answers all who wait that this node leads no more.
func (c *control) drop() {
	for _, index := range sortedIndexes(c.waits) {
		for _, to := range c.waits[index] {
			c.reply(to, result{Code: codes.NotLeader})
		}
	}
	for _, h := range c.held {
		c.reply(h.caller, result{Code: codes.NotLeader})
	}
	for _, r := range c.rounds {
		for _, q := range r.reads {
			c.reply(q.caller, result{Code: codes.NotLeader})
		}
	}
	polls := c.polls
	c.clear()
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
	case kindVoted:
		if c.votes != nil && !c.leading {
			c.votes[from] = true
			c.count()
		}
	case kindAppend:
		c.leader = from
		c.votes = nil
		c.deferElection()
		c.w.send(c.id, from, Message{Kind: kindAppended, Term: c.term, Index: m.Index})
		c.apply(m.Commit)
	case kindAppended:
		c.acked[from] = max(c.acked[from], m.Index)
		c.advance()
	}
}

// vote answers a candidate of this term; votes holds the first one.
func (c *control) vote(from sardine.NodeID) {
	if c.votes == nil && c.leader == "" {
		c.votes = map[sardine.NodeID]bool{from: true}
		c.deferElection()
		c.w.send(c.id, from, Message{Kind: kindVoted, Term: c.term})
	}
}

func (c *control) count() {
	if c.leading || !c.votes[c.id] || 2*len(c.votes) <= len(c.w.controlIDs) {
		return
	}
	c.leading, c.ready = true, false
	c.leader = c.id
	c.w.board.term = c.term
	c.clear()
	c.first = c.w.board.append(c.term, c.stamp(), nil)
	c.replicate()
}

func (c *control) stamp() state.WallTime {
	return state.WallTime(c.w.driver.Now())
}

// replicate sends the entries and the commit index.
func (c *control) replicate() {
	c.beatAt = c.now + heartbeat
	for _, other := range c.w.controlIDs {
		if other != c.id {
			c.w.send(c.id, other, Message{Kind: kindAppend, Term: c.term, Index: c.w.board.last(), Commit: c.commit})
		}
	}
	c.advance()
}

// advance commits what a majority holds, once an entry of the own term is among
// it.
func (c *control) advance() {
	if !c.leading || c.w.board.term != c.term {
		return
	}
	held := []uint64{c.w.board.last()}
	for _, other := range c.w.controlIDs {
		if other != c.id {
			held = append(held, c.acked[other])
		}
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	if index >= c.first && index > c.commit {
		c.apply(index)
		c.lead()
		c.replicate()
	}
}

// lead starts the term's leases once its first entry is applied.
func (c *control) lead() {
	if c.ready || !c.leading || c.machine.Index() < c.first {
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
	c.w.led()
}

// apply applies the committed entries.
func (c *control) apply(commit uint64) {
	c.commit = max(c.commit, commit)
	for index := c.machine.Index() + 1; index <= c.commit; index++ {
		e := c.w.board.at(index)
		if e.command == nil {
			c.machine.Skip(index)
			c.server.Applied(index, e.at, nil)
			continue
		}
		r := c.machine.Apply(index, e.at, e.command)
		c.server.Applied(index, e.at, e.command)
		c.note(index, e.command, r)
	}
}

// note tells the ledger and whoever waits what an entry did.
func (c *control) note(index uint64, command state.Command, r state.Result) {
	callers := c.waits[index]
	delete(c.waits, index)
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
		c.changed(callers, command, r)
		return
	}
	for _, to := range callers {
		c.reply(to, result{Code: codes.Of(r.Err)})
	}
}

// changed answers a change that lost its race, and holds one that took effect
// until it is in force.
func (c *control) changed(callers []caller, command state.ChangeSettings, r state.Result) {
	for _, to := range callers {
		if r.Err != nil {
			current, _ := c.machine.Current(command.Team)
			c.reply(to, result{Code: codes.Of(r.Err), Version: current.Version, Change: current.ChangeID})
			continue
		}
		c.hold(heldChange{caller: to, team: command.Team, index: r.Index, version: r.Version, until: c.now})
	}
}

// serve answers entry nodes and operators.
func (c *control) serve(from sardine.NodeID, m Message) {
	to := caller{node: from, call: m.Call}
	if m.Kind == kindFollow {
		c.hint()
		c.w.askers[from]++
		c.nextPoll++
		c.polls[c.nextPoll] = to
		c.server.HandleRequest(c.now, c.nextPoll, c.w.decodeRequest(m.Body))
		return
	}
	if m.Kind == kindGone {
		c.gone(to)
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
			c.startRound(&round{reads: []read{{caller: to, team: change.Team}}})
		}
	}
}

func (c *control) gone(asker caller) {
	for id, to := range c.polls {
		if to == asker {
			c.server.CancelRequest(id)
			delete(c.polls, id)
		}
	}
}

// hint names the leader in the refusals of polls.
func (c *control) hint() {
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

func (c *control) change(to caller, command state.Command) {
	change, ok := command.(state.ChangeSettings)
	if !ok {
		return
	}
	if first, seen := c.machine.Change(change.Team, change.ChangeID); seen {
		c.hold(heldChange{caller: to, team: change.Team, index: first.Index, version: first.Version, until: c.now})
		return
	}
	if _, err := team.Parse(change.Team, change.Document); err != nil {
		c.reply(to, result{Code: codes.Of(err)})
		return
	}
	c.propose(to, command)
}

// hold keeps a change until it is in force; a resend takes the place of what the
// same operator sent before.
func (c *control) hold(h heldChange) {
	c.held = slices.DeleteFunc(c.held, func(old heldChange) bool { return old.caller.node == h.caller.node })
	c.held = append(c.held, h)
}

func (c *control) propose(to caller, command state.Command) {
	index := c.w.board.append(c.term, c.stamp(), command)
	if index == 0 {
		index = math.MaxUint64 // deposed without knowing; stepDown answers it
	}
	c.waits[index] = append(c.waits[index], to)
	c.replicate()
}
