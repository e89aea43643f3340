// Package wirequ converts the types of the consensus core to protobuf messages and
// back.
package wirequ

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

// MessageToWire returns the protobuf message of m. It shares the data of entries and
// snapshot chunks with m.
func MessageToWire(m quorum.Message) *wire.PeerMessage {
	w := &wire.PeerMessage{
		Kind:     uint32(m.Kind),
		From:     string(m.From),
		To:       string(m.To),
		Term:     m.Term,
		LogIndex: m.LogIndex,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Entries:  EntriesToWire(m.Entries),
		Reject:   m.Reject,
		Hint:     m.Hint,
		Round:    m.Round,
		Force:    m.Force,
		Settled:  m.Settled,
		Folder:   m.Folder,
	}
	if m.Kind == quorum.Install {
		w.Snapshot = chunkTo(m.Chunk)
	}
	return w
}

// MessageFromWire is the inverse of MessageToWire. It shares the data with w.
func MessageFromWire(w *wire.PeerMessage) quorum.Message {
	return quorum.Message{
		Kind:     quorum.Kind(w.GetKind()),
		From:     sardine.NodeID(w.GetFrom()),
		To:       sardine.NodeID(w.GetTo()),
		Term:     w.GetTerm(),
		LogIndex: w.GetLogIndex(),
		LogTerm:  w.GetLogTerm(),
		Commit:   w.GetCommit(),
		Entries:  EntriesFromWire(w.GetEntries()),
		Reject:   w.GetReject(),
		Hint:     w.GetHint(),
		Round:    w.GetRound(),
		Force:    w.GetForce(),
		Settled:  w.GetSettled(),
		Folder:   w.GetFolder(),
		Chunk:    chunkOf(w.GetSnapshot()),
	}
}

// EntriesToWire returns the protobuf messages of log entries. It shares their data.
func EntriesToWire(entries []quorum.Entry) []*wire.LogEntry {
	if len(entries) == 0 {
		return nil
	}
	all := make([]*wire.LogEntry, len(entries))
	for i, e := range entries {
		all[i] = &wire.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
		if e.Kind == quorum.KindMembers {
			all[i].Members = MembersToWire(e.Members)
		}
	}
	return all
}

// EntriesFromWire is the inverse of EntriesToWire.
func EntriesFromWire(entries []*wire.LogEntry) []quorum.Entry {
	if len(entries) == 0 {
		return nil
	}
	all := make([]quorum.Entry, len(entries))
	for i, e := range entries {
		all[i] = quorum.Entry{
			Index:   e.GetIndex(),
			Term:    e.GetTerm(),
			Kind:    quorum.EntryKind(e.GetKind()),
			Data:    e.GetData(),
			Members: MembersFromWire(e.GetMembers()),
		}
	}
	return all
}

// MembersToWire returns the protobuf message of a member list.
func MembersToWire(members []quorum.Member) *wire.QuorumMembers {
	all := make([]*wire.QuorumMember, len(members))
	for i, m := range members {
		all[i] = &wire.QuorumMember{Node: string(m.Node), Address: m.Address, Learner: m.Learner}
	}
	return &wire.QuorumMembers{Members: all}
}

// MembersFromWire is the inverse of MembersToWire.
func MembersFromWire(w *wire.QuorumMembers) []quorum.Member {
	if len(w.GetMembers()) == 0 {
		return nil
	}
	all := make([]quorum.Member, len(w.GetMembers()))
	for i, m := range w.GetMembers() {
		all[i] = quorum.Member{Node: sardine.NodeID(m.GetNode()), Address: m.GetAddress(), Learner: m.GetLearner()}
	}
	return all
}

func chunkTo(c quorum.Chunk) *wire.SnapshotChunk {
	return &wire.SnapshotChunk{
		Index:   c.Index,
		Term:    c.Term,
		Offset:  c.Offset,
		Total:   c.Total,
		Data:    c.Data,
		Members: MembersToWire(c.Members),
	}
}

func chunkOf(w *wire.SnapshotChunk) quorum.Chunk {
	if w == nil {
		return quorum.Chunk{}
	}
	return quorum.Chunk{
		Position: quorum.Position{Index: w.GetIndex(), Term: w.GetTerm()},
		Offset:   w.GetOffset(),
		Total:    w.GetTotal(),
		Data:     w.GetData(),
		Members:  MembersFromWire(w.GetMembers()),
	}
}
