package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// startElection asks the voters whether an election would be won, before the
// term is raised: a member that was cut off can't depose a working leader when
// it returns.
func (c *Core) startElection() {
	if !c.mayLead() {
		c.resetElection()
		return
	}
	c.retryElection()
	c.role = PreCandidate
	c.leader = ""
	c.votes = map[sardine.NodeID]bool{c.id: true}
	if c.won() {
		c.campaign(false)
		return
	}
	last := c.log.last()
	for _, m := range c.otherVoters() {
		c.send(Message{Kind: PreVote, To: m, Term: c.hard.Term + 1, LogIndex: last.Index, LogTerm: last.Term})
	}
}

// campaign raises the term and asks for votes. The own vote counts once it is
// durable, and the others are asked then.
func (c *Core) campaign(force bool) {
	c.retryElection()
	c.role = Candidate
	c.leader = ""
	c.force = force
	c.hard.Term++
	c.hard.Vote = c.id
	c.votes = make(map[sardine.NodeID]bool)
	c.writeHard()
	last := c.log.last()
	for _, m := range c.otherVoters() {
		c.sendVote(Message{Kind: Vote, To: m, LogIndex: last.Index, LogTerm: last.Term, Force: force})
	}
}

func (c *Core) answerPreVote(m Message) {
	grant := m.Term > c.hard.Term && c.trusts(m) && c.upToDate(m) && !c.hearsLeader()
	if grant {
		c.yieldTo(m)
		c.send(Message{Kind: PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.refusePreVote(m)
}

// refusePreVote also tells a sender that was removed while it was away: nobody
// sends it the entry that says so.
func (c *Core) refusePreVote(m Message) {
	hint := uint64(0)
	if c.hearsLeader() && c.openLists() == 0 && !c.lists[len(c.lists)-1].holds(m.From) {
		hint = hintRemoved
	}
	c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true, Hint: hint})
}

func (c *Core) noteRefusal(m Message) {
	if m.Reject && m.Hint == hintRemoved {
		c.removed = true
	}
}

// yieldTo stands back from an election that a better placed member began at the
// same time, so that they do not split the votes. It does so once: a member that
// can send but not receive would otherwise hold up the others for ever.
func (c *Core) yieldTo(m Message) {
	last := c.log.last()
	equal := m.LogTerm == last.Term && m.LogIndex == last.Index
	if c.role != PreCandidate || c.yielded || equal && m.From > c.id {
		return
	}
	c.yielded = true
	c.role = Follower
	c.retryElection()
}

func (c *Core) countPreVote(m Message) {
	if c.role != PreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.campaign(false)
	}
}

func (c *Core) answerVote(m Message) {
	free := c.hard.Vote == "" && c.leader == "" || c.hard.Vote == m.From || c.defects.ForgottenVote
	if !free || !c.trusts(m) || !c.upToDate(m) {
		c.send(Message{Kind: VoteReply, To: m.From, Reject: true})
		c.standInstead(m)
		return
	}
	if c.hard.Vote != m.From {
		c.hard.Vote = m.From
		c.writeHard()
	}
	c.resetElection()
	c.sendVote(Message{Kind: VoteReply, To: m.From})
}

// standInstead makes a member whose log is longer than the candidate's stand for
// election soon: the candidate may not win, and there is no leader any more.
func (c *Core) standInstead(m Message) {
	if c.role == Follower && c.leader == "" && !c.upToDate(m) {
		c.retryElection()
	}
}

func (c *Core) countVote(m Message) {
	if c.role == Candidate {
		c.recordVote(m.From, !m.Reject)
	}
}

func (c *Core) recordVote(from sardine.NodeID, granted bool) {
	if granted {
		c.votes[from] = true
	}
	if c.won() {
		c.becomeLeader()
	}
}

func (c *Core) won() bool {
	return c.quorum(func(n sardine.NodeID) bool { return c.votes[n] })
}

// trusts reports whether neither this node nor the candidate may have lost its
// memory: then a vote would not count what was acknowledged before. Members of a
// new site are all unsettled and elect their first leader among themselves.
func (c *Core) trusts(m Message) bool {
	return m.Settled == c.hard.Settled || c.defects.AmnesicVote
}

// settle notes that this node holds all that its leader had committed, and that
// the leader counts nothing that an earlier folder of this node acknowledged.
func (c *Core) settle(folder, commit uint64) {
	if folder == c.hard.Folder && commit <= c.commit {
		c.settleAt(commit)
	}
}

// settleAt does so if the commit index has reached the leader's term.
func (c *Core) settleAt(commit uint64) {
	term, ok := c.log.term(commit)
	if c.hard.Settled || !ok || term != c.hard.Term || commit <= bootstrapIndex {
		return
	}
	c.hard.Settled = true
	c.writeHard()
}

// upToDate reports whether the candidate's log holds all that may be committed.
func (c *Core) upToDate(m Message) bool {
	last := c.log.last()
	if m.LogTerm != last.Term {
		return m.LogTerm > last.Term
	}
	return m.LogIndex >= last.Index
}

// hearsLeader reports whether a leader was heard so recently that an election
// would only disturb it.
func (c *Core) hearsLeader() bool {
	if c.defects.NoDisturbCheck {
		return false
	}
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.heard && c.now-c.heardAt < c.timing.ElectionMin
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.leaderSince = c.now
	c.peers = make(map[sardine.NodeID]*progress)
	c.reads = reads{round: c.reads.round}
	c.syncPeers()
	c.waiting = 0
	for _, e := range c.log.between(c.commit, c.log.last().Index) {
		c.waiting += e.size()
	}
	c.heartbeatAt = c.now + c.timing.Heartbeat
	c.firstOfTerm = c.appendOwn(Entry{Kind: KindEmpty}).Index
}

// becomeFollower enters a term, or gives up a part in the current one.
func (c *Core) becomeFollower(term uint64, leader sardine.NodeID) {
	if term > c.hard.Term {
		c.hard.Term = term
		c.hard.Vote = ""
		c.writeHard()
	}
	if c.role == Leader {
		c.failReads()
	}
	if c.leader != leader {
		c.leaderSince = c.now
	}
	c.role = Follower
	c.leader = leader
	c.resetElection()
}

// hear notes a message of the term's leader.
func (c *Core) hear(from sardine.NodeID) {
	if !c.check(c.role != Leader, "%s and %s lead in term %d", c.id, from, c.hard.Term) {
		return
	}
	if !c.check(c.leader == "" || c.leader == from, "%s and %s lead in term %d", c.leader, from, c.hard.Term) {
		return
	}
	c.becomeFollower(c.hard.Term, from)
	c.heardAt = c.now
	c.heard = true
	c.yielded = false
	c.removed = false
}

// handleElectNow takes over from a leader that leaves.
func (c *Core) handleElectNow(m Message) {
	if c.role == Follower && m.From == c.leader && c.mayLead() {
		c.campaign(true)
	}
}

// HandOver asks the most advanced voter to take over. The caller stops proposing
// and goes on until another member leads.
func (c *Core) HandOver(now sardine.Millis) {
	if c.err != nil || c.role != Leader {
		return
	}
	c.setNow(now)
	c.electOther(c.timing.ElectionMin)
}

// electOther asks the most advanced voter heard within the time to stand for
// election at once.
func (c *Core) electOther(within sardine.Millis) {
	best := sardine.NodeID("")
	for _, n := range c.otherVoters() {
		p := c.peers[n]
		if c.now-p.heardAt > within {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = n
		}
	}
	if best != "" {
		c.send(Message{Kind: ElectNow, To: best})
	}
}

// deafMost is how long ago a member may have been heard to be asked to stand for
// election when the leader steps down.
const deafMost = 10 * sardine.Second

// tickLeader sends heartbeats and steps down without quorum contact, so that a
// cut-off leader stops answering as one.
func (c *Core) tickLeader() {
	if c.now >= c.contactEnds() && !c.defects.LeaseForever {
		// The others may well hear this node though it does not hear them, and
		// would wait for another timeout.
		c.electOther(deafMost)
		c.becomeFollower(c.hard.Term, "")
		return
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + c.timing.Heartbeat
	for _, n := range c.others() {
		p := c.peers[n]
		p.retry(c.now, 2*c.timing.Heartbeat)
		c.sendHeartbeat(n, p)
	}
}

// contactEnds returns when the leader must step down unless it hears more
// voters: the shortest election timeout after a quorum was last heard.
func (c *Core) contactEnds() sardine.Millis {
	heard := make([]sardine.Millis, 0, len(c.peers)+1)
	for _, n := range c.voters() {
		if n == c.id {
			heard = append(heard, c.now)
			continue
		}
		heard = append(heard, c.peers[n].heardAt)
	}
	if len(heard) == 0 {
		return c.now
	}
	slices.Sort(heard)
	return heard[(len(heard)-1)/2] + c.timing.ElectionMin
}

// retryElection sets the next attempt of a failed election. No leader is heard
// and pre-votes disturb nobody, so it comes sooner than the first one.
func (c *Core) retryElection() {
	least := max(c.timing.ElectionMin/6, 1)
	c.electionAt = c.now + least + sardine.Millis(c.random.IntN(int(2*least)))
}

func (c *Core) resetElection() {
	spread := int(c.timing.ElectionMax-c.timing.ElectionMin) + 1
	c.electionAt = c.now + c.timing.ElectionMin + sardine.Millis(c.random.IntN(spread))
}
