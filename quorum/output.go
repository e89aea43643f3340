package quorum

import sardine "sardineswitch.dev/sardine"

// Write is a batch of changes that must become durable. Writes are performed in
// the order of their sequence numbers.
type Write struct {
	Sequence      uint64
	Hard          *HardState // nil if unchanged
	Install       *Snapshot  // replaces the log, before Entries; nil if none
	Entries       []Entry    // replace the log from the first one's index on
	SendAfterSync []Message  // to send once this write and all before it are durable
}

// Empty reports whether there is nothing to write or to send.
func (w Write) Empty() bool {
	return w.Sequence == 0
}

// Stores reports whether the write changes any file.
func (w Write) Stores() bool {
	return w.Hard != nil || w.Install != nil || len(w.Entries) > 0
}

// Read is the result of one ConfirmLeadership call.
type Read struct {
	Ticket    uint64
	Confirmed bool   // false if the leadership was lost first
	Index     uint64 // the read must observe all entries up to here
	Term      uint64
}

// Output is what the caller must do: send Messages, perform Write and report it
// with Synced, restore the state from Restore, then apply Committed.
type Output struct {
	Messages  []Message // to send at once
	Write     Write
	Restore   *Snapshot // replaces the applied state
	Committed []Entry   // newly committed, in order
	Reads     []Read
	Err       error // codes.InvariantBroken: stop using this core
}

// Empty reports whether there is nothing to do.
func (o Output) Empty() bool {
	return len(o.Messages) == 0 && o.Write.Empty() && o.Restore == nil && len(o.Committed) == 0 && len(o.Reads) == 0 && o.Err == nil
}

// pending is a write that has not been reported as durable yet.
type pending struct {
	sequence uint64
	last     uint64 // last entry that it makes durable
}

// Take returns the output accumulated since the last call.
func (c *Core) Take() Output {
	if c.err == nil {
		c.prepare()
	}
	out := c.out
	c.out = Output{}
	out.Err = c.err
	if c.err != nil {
		return Output{Err: c.err}
	}
	if !out.Write.Empty() {
		c.pending = append(c.pending, pending{sequence: out.Write.Sequence, last: c.log.last().Index})
	}
	return out
}

// prepare adds the output that depends on the whole batch of inputs: messages to
// followers and newly committed entries.
func (c *Core) prepare() {
	if c.role == Leader {
		c.replicate()
	}
	c.check(c.delivered <= c.commit && c.commit <= c.log.last().Index, "applied %d, committed %d, the log ends at %d", c.delivered, c.commit, c.log.last().Index)
	if c.commit > c.delivered {
		c.out.Committed = c.log.between(c.delivered, c.commit)
		c.delivered = c.commit
	}
}

// Synced reports that all writes up to sequence are durable.
func (c *Core) Synced(now sardine.Millis, sequence uint64) {
	if c.err != nil || sequence <= c.syncedSequence {
		return
	}
	c.setNow(now)
	c.syncedSequence = sequence
	for len(c.pending) > 0 && c.pending[0].sequence <= sequence {
		c.durableIndex = max(c.durableIndex, c.pending[0].last)
		c.pending = c.pending[1:]
	}
	if c.role == Candidate && c.syncedSequence >= c.hardSequence {
		c.recordVote(c.id, true)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// write returns the write of the current batch; it assigns a sequence number to
// a new one.
func (c *Core) write() *Write {
	if c.out.Write.Empty() {
		c.sequence++
		c.out.Write.Sequence = c.sequence
	}
	return &c.out.Write
}

func (c *Core) writeHard() {
	old := c.queuedHard
	c.check(c.hard.Term >= old.Term, "the term fell from %d to %d", old.Term, c.hard.Term)
	c.check(c.hard.Term > old.Term || old.Vote == "" || c.hard.Vote == old.Vote, "a second vote in term %d, for %s after %s", old.Term, c.hard.Vote, old.Vote)
	w := c.write()
	hard := c.hard
	c.queuedHard = hard
	w.Hard = &hard
	c.hardSequence = w.Sequence
}

// writeEntries adds entries to the batch. Entries that the batch already holds
// from the same index on are replaced.
func (c *Core) writeEntries(entries []Entry) {
	w := c.write()
	if len(w.Entries) > 0 && entries[0].Index <= w.Entries[len(w.Entries)-1].Index {
		keep := 0
		for keep < len(w.Entries) && w.Entries[keep].Index < entries[0].Index {
			keep++
		}
		w.Entries = w.Entries[:keep:keep]
	}
	w.Entries = append(w.Entries, entries...)
}

// capDurable records that entries from index on were dropped, so that a pending
// write does not count them as durable.
func (c *Core) capDurable(index uint64) {
	c.durableIndex = min(c.durableIndex, index-1)
	for i := range c.pending {
		c.pending[i].last = min(c.pending[i].last, index-1)
	}
}

// send queues a message that depends on no stored data except the hard state. It
// is held back until the latest hard state is durable.
func (c *Core) send(m Message) {
	c.fillHeader(&m)
	if c.syncedSequence < c.hardSequence {
		c.sendAfterSync(m)
		return
	}
	c.out.Messages = append(c.out.Messages, m)
}

// acknowledge queues a message that acknowledges the entries up to index. It is
// held back until they are durable on this node.
func (c *Core) acknowledge(m Message, index uint64) {
	c.fillHeader(&m)
	if index <= c.durableIndex && c.syncedSequence >= c.hardSequence || c.defects.EarlyAcknowledge {
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	c.sendAfterSync(m)
}

// sendVote queues a message that is held back until the vote is durable on this
// node.
func (c *Core) sendVote(m Message) {
	c.fillHeader(&m)
	if c.defects.UnsyncedVote {
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	c.send(m)
}

func (c *Core) fillHeader(m *Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	m.Folder = c.hard.Folder
	m.Settled = c.hard.Settled
	if p := c.peers[m.To]; p != nil && c.role == Leader {
		m.Folder = p.folder
	}
}

func (c *Core) sendAfterSync(m Message) {
	w := c.write()
	w.SendAfterSync = append(w.SendAfterSync, m)
}
