package trial

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// checkDurable compares what the disk holds with what the node has told others.
func (m *member) checkDurable(stored quorum.Stored) {
	last := stored.Base.Index + uint64(len(stored.Entries))
	if last < m.acked {
		m.trial.book.fail("%s acknowledged entry %d, after a crash its log ends at %d", m.id, m.acked, last)
	}
	known := quorum.HardState{Term: stored.Hard.Term, Vote: stored.Hard.Vote}
	if known.Term < m.vote.Term || known.Term == m.vote.Term && known.Vote != m.vote.Vote {
		m.trial.book.fail("%s voted %+v, after a crash it knows %+v", m.id, m.vote, stored.Hard)
	}
}

// claim notes what a message says about the node's disk.
func (m *member) claim(message quorum.Message) {
	switch {
	case message.Kind == quorum.AppendReply && !message.Reject:
		m.acked = max(m.acked, message.LogIndex)
	case message.Kind == quorum.Vote:
		m.vote = quorum.HardState{Term: message.Term, Vote: m.id}
	case message.Kind == quorum.VoteReply && !message.Reject:
		m.vote = quorum.HardState{Term: message.Term, Vote: message.To}
	}
}

// replace notes that a write drops entries that were acknowledged.
func (m *member) replace(w quorum.Write) {
	if w.Install != nil {
		m.acked = min(m.acked, w.Install.Index)
	}
	if len(w.Entries) > 0 {
		m.acked = min(m.acked, w.Entries[0].Index-1)
	}
}

// crashSoon lets some crashes follow closely on what a node promised: that is
// where a missing sync would show.
func (m *member) crashSoon(message quorum.Message) {
	d := m.trial.driver
	share := 0.0
	switch message.Kind {
	case quorum.Vote, quorum.VoteReply:
		share = crashVotes
	case quorum.AppendReply:
		share = crashAppends
	}
	if m.trial.calm || d.Random().Float64() >= share {
		return
	}
	d.At(sardine.Millis(d.Random().IntN(syncMost)), func(sardine.Millis) { d.Crash(m.id) })
	d.At(sardine.Millis(syncMost+d.Random().IntN(1000)), func(sardine.Millis) { d.Restart(m.id) })
}
