package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// probeBytes bounds the entry bytes in a probe, because the receiver may well
// reject it.
const probeBytes = 16 << 10

// replicate sends each member the entries or snapshot chunks that it lacks,
// within the limits.
func (c *Core) replicate() {
	for _, n := range c.others() {
		p := c.peers[n]
		switch p.mode {
		case probing:
			c.sendProbe(n, p)
		case replicating:
			c.sendEntries(n, p)
		case installing:
			c.sendChunk(n, p)
		}
	}
}

func (c *Core) sendProbe(n sardine.NodeID, p *progress) {
	if p.awaitingReply {
		return
	}
	if _, ok := c.log.term(p.next - 1); !ok {
		p.mode = installing
		c.sendChunk(n, p)
		return
	}
	p.awaitingReply = true
	p.sentAt = c.now
	c.sendAppend(n, p, c.log.from(p.next-1, probeBytes))
}

func (c *Core) sendEntries(n sardine.NodeID, p *progress) {
	if _, ok := c.log.term(p.next - 1); !ok {
		p.probe()
		c.sendProbe(n, p)
		return
	}
	for p.inflightBytes < c.limits.InFlightBytes {
		entries := c.log.from(p.next-1, c.limits.BatchBytes)
		if len(entries) == 0 {
			break
		}
		c.sendAppend(n, p, entries)
		bytes := 0
		for _, e := range entries {
			bytes += e.size()
		}
		p.addInflight(c.now, entries[len(entries)-1].Index, bytes)
	}
	if len(p.inflight) == 0 && p.sentCommit < min(p.match, c.commit) {
		c.sendHeartbeat(n, p)
	}
}

func (c *Core) sendAppend(n sardine.NodeID, p *progress, entries []Entry) {
	term, _ := c.log.term(p.next - 1)
	p.sentCommit = c.commit
	c.send(Message{Kind: Append, To: n, LogIndex: p.next - 1, LogTerm: term, Commit: c.commit, Entries: entries})
}

// sendHeartbeat sends a heartbeat with the commit index, limited to the entries
// that the member is known to hold.
func (c *Core) sendHeartbeat(n sardine.NodeID, p *progress) {
	commit := min(p.match, c.commit)
	p.sentCommit = commit
	m := Message{Kind: Heartbeat, To: n, Commit: commit, Round: c.reads.round}
	if commit < c.commit {
		m.LogIndex = c.commit
	}
	c.send(m)
}

func (c *Core) handleHeartbeat(m Message) {
	c.recordContact(m.From)
	if c.err != nil {
		return
	}
	c.commitTo(min(m.Commit, c.log.last().Index))
	c.updateSettled(m.Folder, max(m.LogIndex, m.Commit))
	c.send(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (c *Core) handleHeartbeatReply(m Message) {
	p := c.peer(m)
	if p == nil || m.Reject {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	c.checkReads()
}

// handleAppend adds entries from the leader to the log and acknowledges them
// once they are durable.
func (c *Core) handleAppend(m Message) {
	c.recordContact(m.From)
	if c.err != nil {
		return
	}
	if m.LogIndex < c.commit {
		c.acknowledge(Message{Kind: AppendReply, To: m.From, LogIndex: c.commit}, c.commit)
		return
	}
	if !c.log.contains(Position{Index: m.LogIndex, Term: m.LogTerm}) {
		c.rejectAppend(m)
		return
	}
	if !contiguous(m) {
		return
	}
	c.mergeEntries(m.Entries)
	if c.err != nil {
		return
	}
	last := m.LogIndex + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.updateSettled(m.Folder, m.Commit)
	c.acknowledge(Message{Kind: AppendReply, To: m.From, LogIndex: last}, last)
}

func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+uint64(i)+1 {
			return false
		}
	}
	return true
}

// rejectAppend replies with the highest index that may match, so that the leader
// skips a whole term in one step.
func (c *Core) rejectAppend(m Message) {
	hint := min(m.LogIndex-1, c.log.last().Index)
	for hint > c.commit {
		term, ok := c.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	c.send(Message{Kind: AppendReply, To: m.From, Reject: true, LogIndex: m.LogIndex, Hint: hint})
}

// mergeEntries adds the entries that the log lacks. Conflicting entries in the
// log were never committed and are dropped, with all that follow them.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.truncateFrom(e.Index)
		}
		if c.err != nil {
			return
		}
		c.log.add(entries[i:]...)
		c.writeEntries(entries[i:])
		for _, e := range entries[i:] {
			c.recordMembers(e)
		}
		return
	}
}

func (c *Core) truncateFrom(index uint64) {
	if !c.check(index > c.commit, "entry %d would change though %d is committed", index, c.commit) {
		return
	}
	c.log.truncateFrom(index)
	c.dropMemberLists(index)
	c.capDurable(index)
}

func (c *Core) handleAppendReply(m Message) {
	p := c.peer(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	if !c.check(m.LogIndex <= c.log.last().Index, "%s acknowledged %d, the log ends at %d", m.From, m.LogIndex, c.log.last().Index) {
		return
	}
	p.advance(c.now, m.LogIndex)
	if p.mode == probing || p.mode == installing && p.match >= c.log.base.Index {
		p.probe()
		p.mode = replicating
	}
	c.advanceCommit()
}

// handleAppendReject chooses the next index to probe after a mismatch.
func (c *Core) handleAppendReject(p *progress, m Message) {
	if m.LogIndex <= p.match || p.mode == installing {
		return
	}
	if p.mode == probing && m.LogIndex != p.next-1 {
		return
	}
	p.probe()
	p.next = max(p.match+1, min(m.LogIndex, m.Hint+1))
}

// advanceCommit commits the entries that are durable on a quorum. Entries of
// earlier terms are committed only together with one of this term: until then,
// another leader could still replace them.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.peers)+1)
	for _, n := range c.voters() {
		matches = append(matches, c.matchOf(n))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := c.log.term(index)
	if index <= c.commit || !ok {
		return
	}
	if term != c.hard.Term && !c.defects.OldTermCommit {
		return
	}
	c.commitTo(index)
	c.checkReads()
	c.stepDownIfRemoved()
}

func (c *Core) matchOf(n sardine.NodeID) uint64 {
	if n == c.id {
		return c.durableIndex
	}
	return c.peers[n].match
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	if !c.check(index <= c.log.last().Index, "commit %d is beyond the log's end %d", index, c.log.last().Index) {
		return
	}
	if c.role == Leader {
		c.recordLeaderCommit(index)
	}
	c.commit = index
}

// recordLeaderCommit updates the leader's bookkeeping before its commit index
// advances to index.
func (c *Core) recordLeaderCommit(index uint64) {
	term, _ := c.log.term(index)
	c.check(term == c.hard.Term, "entry %d of term %d was committed by counting in term %d", index, term, c.hard.Term)
	for _, e := range c.log.between(c.commit, index) {
		c.uncommittedBytes -= e.size()
	}
	c.markSettled(index)
}

// peer returns the progress of the member that replied to this leader, and
// records the contact. It returns nil for replies from a data folder that has
// been replaced since: what they acknowledge is lost.
func (c *Core) peer(m Message) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.peers[m.From]
	if p == nil || m.Folder < p.folder {
		return nil
	}
	if m.Folder > p.folder {
		p.replaceFolder(m.Folder)
	}
	p.lastContact = c.now
	p.heardAt = c.now
	p.settled = p.settled || m.Settled
	return p
}
