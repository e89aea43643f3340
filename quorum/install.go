package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// sendChunk sends the next part of the newest snapshot. The shell fills in the
// data.
func (c *Core) sendChunk(n sardine.NodeID, p *progress) {
	if p.install != c.snapshot.Position {
		p.install = c.snapshot.Position
		p.offset = 0
		p.sent = false
	}
	if p.sent {
		return
	}
	p.sent = true
	p.sentAt = c.now
	chunk := Chunk{Position: p.install, Offset: p.offset, Total: c.snapshot.Size, Members: c.snapshot.Members}
	if c.defects.UnlistedSnapshot {
		chunk.Members = c.members()
	}
	c.send(Message{Kind: Install, To: n, Chunk: chunk})
}

func (c *Core) handleInstallReply(m Message) {
	p := c.peer(m)
	if p == nil || p.mode != installing || m.LogIndex != p.install.Index {
		return
	}
	p.offset = m.Hint
	p.sent = false
}

// handleInstall gathers chunks in order and asks for the next one.
func (c *Core) handleInstall(m Message) {
	c.hear(m.From)
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

// install replaces the log by the received snapshot, unless the log leads to the
// same state.
func (c *Core) install() {
	s := Snapshot{Position: c.partial.Position, Members: c.partial.Members, Size: c.partial.Total, Data: c.partial.Data}
	c.partial = Chunk{}
	if c.log.holds(s.Position) {
		c.commitTo(s.Index)
		return
	}
	c.forget(1)
	c.log.reset(s.Position)
	c.lists = []membership{{index: s.Index, members: s.Members}}
	c.syncPeers()
	c.commit = s.Index
	c.handed = s.Index
	w := c.write()
	w.Install = &s
	w.Entries = nil
	c.out.Restore = &s
	c.snapshot = s
	c.snapshot.Data = nil
}
