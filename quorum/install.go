package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// sendChunk sends the next chunk of the newest snapshot. The caller that
// performs the Output fills in the data.
func (c *Core) sendChunk(n sardine.NodeID, p *progress) {
	if p.snapshotPosition != c.snapshot.Position {
		p.snapshotPosition = c.snapshot.Position
		p.snapshotOffset = 0
		p.awaitingReply = false
	}
	if p.awaitingReply {
		return
	}
	p.awaitingReply = true
	p.sentAt = c.now
	chunk := Chunk{Position: p.snapshotPosition, Offset: p.snapshotOffset, Total: c.snapshot.Size, Members: c.snapshot.Members}
	if c.defects.NewestListSnapshot {
		chunk.Members = c.members()
	}
	c.send(Message{Kind: Install, To: n, Chunk: chunk})
}

func (c *Core) handleInstallReply(m Message) {
	p := c.peer(m)
	if p == nil || p.mode != installing || m.LogIndex != p.snapshotPosition.Index {
		return
	}
	p.snapshotOffset = m.Hint
	p.awaitingReply = false
}

// handleInstall assembles a snapshot from its chunks, in order, and requests the
// next chunk or installs the snapshot.
func (c *Core) handleInstall(m Message) {
	c.recordContact(m.From)
	if c.err != nil {
		return
	}
	s := m.Chunk
	if s.Index <= c.commit {
		c.acknowledge(Message{Kind: AppendReply, To: m.From, LogIndex: c.commit}, c.commit)
		return
	}
	if c.partial.Position != s.Position {
		c.partial = Chunk{Position: s.Position, Total: s.Total, Members: s.Members}
	}
	if s.Offset == uint64(len(c.partial.Data)) {
		c.partial.Data = append(c.partial.Data, s.Data...)
	}
	if uint64(len(c.partial.Data)) < c.partial.Total {
		c.send(Message{Kind: InstallReply, To: m.From, LogIndex: s.Index, Hint: uint64(len(c.partial.Data))})
		return
	}
	c.install()
	c.acknowledge(Message{Kind: AppendReply, To: m.From, LogIndex: c.commit}, c.commit)
}

// install replaces the log by the received snapshot, unless the log already
// contains the snapshot's last entry.
func (c *Core) install() {
	s := Snapshot{Position: c.partial.Position, Members: c.partial.Members, Size: c.partial.Total, Data: c.partial.Data}
	c.partial = Chunk{}
	if c.log.contains(s.Position) {
		c.commitTo(s.Index)
		return
	}
	c.capDurable(1)
	c.log.reset(s.Position)
	c.memberLists = []memberList{{index: s.Index, members: s.Members}}
	c.updatePeers()
	c.commit = s.Index
	c.delivered = s.Index
	w := c.write()
	w.Install = &s
	w.Entries = nil
	c.out.Restore = &s
	c.snapshot = s
	c.snapshot.Data = nil
}
