package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// startElection starts a pre-vote: it asks the voters for their votes without
// raising the term, so that a member that was partitioned can't depose a working
// leader when it returns.
func (c *Core) startElection() {
	if !c.mayLead() {
		c.resetElectionTimeout()
		return
	}
	c.scheduleRetry()
	c.role = PreCandidate
	c.setLeader("")
	c.votes = map[sardine.NodeID]bool{c.id: true}
	if c.hasQuorumOfVotes() {
		c.campaign(false)
		return
	}
	last := c.log.last()
	for _, m := range c.otherVoters() {
		c.send(Message{Kind: PreVote, To: m, Term: c.hard.Term + 1, LogIndex: last.Index, LogTerm: last.Term})
	}
}

// campaign raises the term and requests votes. The requests are sent, and the
// node's own vote is counted, once that vote is durable.
func (c *Core) campaign(force bool) {
	c.scheduleRetry()
	c.role = Candidate
	c.setLeader("")
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

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hard.Term && c.mayVoteFor(m) && c.upToDate(m) && !c.hasActiveLeader()
	if grant {
		c.yieldTo(m)
		c.send(Message{Kind: PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.rejectPreVote(m)
}

// rejectPreVote rejects a pre-vote. The hint informs a sender that was removed
// while it was unreachable: nobody sends it the entry that removed it.
func (c *Core) rejectPreVote(m Message) {
	hint := uint64(0)
	if c.hasActiveLeader() && c.uncommittedLists() == 0 && !c.memberLists[len(c.memberLists)-1].contains(m.From) {
		hint = hintRemoved
	}
	c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true, Hint: hint})
}

func (c *Core) handlePreVoteReject(m Message) {
	if m.Reject && m.Hint == hintRemoved {
		c.removed = true
	}
}

// yieldTo abandons this node's pre-vote in favour of a concurrent candidate with
// a longer log, or with an equal log and a smaller name, so that the two do not
// split the votes. It yields only once per leader contact: a member that can
// send but not receive would otherwise block the others for ever.
func (c *Core) yieldTo(m Message) {
	last := c.log.last()
	equal := m.LogTerm == last.Term && m.LogIndex == last.Index
	if c.role != PreCandidate || c.yielded || equal && m.From > c.id {
		return
	}
	c.yielded = true
	c.role = Follower
	c.scheduleRetry()
}

func (c *Core) countPreVote(m Message) {
	if c.role != PreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasQuorumOfVotes() {
		c.campaign(false)
	}
}

func (c *Core) handleVote(m Message) {
	free := c.hard.Vote == "" && c.leader == "" || c.hard.Vote == m.From || c.defects.SecondVote
	if !free || !c.mayVoteFor(m) || !c.upToDate(m) {
		c.send(Message{Kind: VoteReply, To: m.From, Reject: true})
		c.hastenElection(m)
		return
	}
	if c.hard.Vote != m.From {
		c.hard.Vote = m.From
		c.writeHard()
	}
	c.resetElectionTimeout()
	c.sendVote(Message{Kind: VoteReply, To: m.From})
}

// hastenElection shortens the election timeout of a member whose log is ahead of
// the candidate's: the candidate may be unable to win, and there is no leader.
func (c *Core) hastenElection(m Message) {
	if c.role == Follower && c.leader == "" && !c.upToDate(m) {
		c.scheduleRetry()
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
	if c.hasQuorumOfVotes() {
		c.becomeLeader()
	}
}

func (c *Core) hasQuorumOfVotes() bool {
	return c.quorum(func(n sardine.NodeID) bool { return c.votes[n] })
}

// mayVoteFor reports whether this node and the candidate are either both settled
// or both unsettled. A node that may have lost its data folder must not take
// part in an election of settled nodes: its vote would disregard entries that it
// acknowledged before. The members of a new site are all unsettled and elect
// their first leader among themselves.
func (c *Core) mayVoteFor(m Message) bool {
	return m.Settled == c.hard.Settled || c.defects.VoteAfterDataLoss
}

// updateSettled marks this node as settled if it holds everything up to the
// leader's commit index and the leader counts no acknowledgement from an earlier
// data folder of this node.
func (c *Core) updateSettled(folder, commit uint64) {
	if folder == c.hard.Folder && commit <= c.commit {
		c.markSettled(commit)
	}
}

// markSettled marks this node as settled if the entry at commit is of the
// current term and follows the bootstrap snapshot.
func (c *Core) markSettled(commit uint64) {
	term, ok := c.log.term(commit)
	if c.hard.Settled || !ok || term != c.hard.Term || commit <= bootstrapIndex {
		return
	}
	c.hard.Settled = true
	c.writeHard()
}

// upToDate reports whether the candidate's log is at least as up to date as this
// node's: it then holds all committed entries that this node holds.
func (c *Core) upToDate(m Message) bool {
	last := c.log.last()
	if m.LogTerm != last.Term {
		return m.LogTerm > last.Term
	}
	return m.LogIndex >= last.Index
}

// hasActiveLeader reports whether this node leads or a leader contacted it within
// the shortest election timeout, so that an election would only disrupt it.
func (c *Core) hasActiveLeader() bool {
	if c.defects.VoteDespiteLeader {
		return false
	}
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.contacted && c.now-c.lastContact < c.timing.ElectionMin
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.setLeader(c.id)
	c.peers = make(map[sardine.NodeID]*progress)
	c.reads = reads{round: c.reads.round}
	c.updatePeers()
	if p := c.peers[c.lastLeader]; p != nil {
		p.heardAt = c.lastContact
	}
	c.uncommittedBytes = 0
	for _, e := range c.log.between(c.commit, c.log.last().Index) {
		c.uncommittedBytes += e.size()
	}
	c.heartbeatAt = c.now + c.timing.Heartbeat
	c.firstOfTerm = c.appendAsLeader(Entry{Kind: KindEmpty}).Index
}

// becomeFollower enters a new term as a follower, or returns to that role within
// the current term.
func (c *Core) becomeFollower(term uint64, leader sardine.NodeID) {
	if term > c.hard.Term {
		c.hard.Term = term
		c.hard.Vote = ""
		c.writeHard()
	}
	if c.role == Leader {
		c.failReads()
	}
	c.role = Follower
	c.setLeader(leader)
	c.resetElectionTimeout()
}

// recordContact records a message from the leader of the current term.
func (c *Core) recordContact(from sardine.NodeID) {
	if !c.check(c.role != Leader, "%s and %s lead in term %d", c.id, from, c.hard.Term) {
		return
	}
	if !c.check(c.leader == "" || c.leader == from, "%s and %s lead in term %d", c.leader, from, c.hard.Term) {
		return
	}
	c.becomeFollower(c.hard.Term, from)
	c.lastContact = c.now
	c.lastLeader = from
	c.contacted = true
	c.yielded = false
	c.removed = false
}

// handleElectNow starts an election at once, without a pre-vote, at the leader's
// request.
func (c *Core) handleElectNow(m Message) {
	if c.role == Follower && m.From == c.leader && c.mayLead() {
		c.campaign(true)
	}
}

// TransferLeadership asks the most up-to-date voter to take over the leadership. The
// caller must stop proposing, and keep the core running until another member
// leads.
func (c *Core) TransferLeadership(now sardine.Millis) {
	if c.err != nil || c.role != Leader {
		return
	}
	c.setNow(now)
	c.sendElectNow(c.timing.ElectionMin)
}

// sendElectNow asks one other voter to start an election at once: among those
// that replied within the given time, the one with the longest matching log.
func (c *Core) sendElectNow(within sardine.Millis) {
	best := sardine.NodeID("")
	for _, n := range c.otherVoters() {
		p := c.peers[n]
		if c.now-p.lastContact > within {
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

// maxElectNowSilence is the longest time since a member's last reply for it to be
// asked to start an election when the leader steps down.
const maxElectNowSilence = 10 * sardine.Second

// tickLeader sends heartbeats, and steps down without quorum contact, so that a
// partitioned leader stops acting as one.
func (c *Core) tickLeader() {
	if c.now >= c.stepDownAt() && !c.defects.NoStepDown {
		// The link may have failed in one direction only: members that still receive
		// messages from this node would otherwise wait for another timeout.
		c.sendElectNow(maxElectNowSilence)
		c.becomeFollower(c.hard.Term, "")
		return
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + c.timing.Heartbeat
	for _, n := range c.others() {
		p := c.peers[n]
		p.retryUnanswered(c.now, 2*c.timing.Heartbeat)
		c.sendHeartbeat(n, p)
	}
}

// stepDownAt returns the time at which the leader must step down unless more
// voters reply: the shortest election timeout after the last contact with a
// quorum.
func (c *Core) stepDownAt() sardine.Millis {
	contacts := make([]sardine.Millis, 0, len(c.peers)+1)
	for _, n := range c.voters() {
		if n == c.id {
			contacts = append(contacts, c.now)
			continue
		}
		contacts = append(contacts, c.peers[n].lastContact)
	}
	if len(contacts) == 0 {
		return c.now
	}
	slices.Sort(contacts)
	return contacts[(len(contacts)-1)/2] + c.timing.ElectionMin
}

// scheduleRetry schedules the next attempt after a failed election. There is no
// leader, and pre-votes disrupt nobody, so the delay is shorter than the first
// election timeout.
func (c *Core) scheduleRetry() {
	least := max(c.timing.ElectionMin/6, 1)
	c.electionAt = c.now + least + sardine.Millis(c.random.IntN(int(2*least)))
}

func (c *Core) resetElectionTimeout() {
	spread := int(c.timing.ElectionMax-c.timing.ElectionMin) + 1
	c.electionAt = c.now + c.timing.ElectionMin + sardine.Millis(c.random.IntN(spread))
}
