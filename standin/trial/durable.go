package trial

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// checkDurable compares the content of the disk after a crash with what the
// node has reported to others as durable.
func (m *member) checkDurable(stored quorum.Stored) {
	last := stored.Base.Index + uint64(len(stored.Entries))
	if last < m.acked {
		m.trial.checker.fail("%s acknowledged entry %d, after a crash its log ends at %d", m.id, m.acked, last)
	}
	known := quorum.HardState{Term: stored.Hard.Term, Vote: stored.Hard.Vote}
	if known.Term < m.vote.Term || known.Term == m.vote.Term && known.Vote != m.vote.Vote {
		m.trial.checker.fail("%s voted %+v, after a crash its disk holds %+v", m.id, m.vote, stored.Hard)
	}
}

// recordClaims records what a message reports as durable: acknowledged entries
// or a vote.
func (m *member) recordClaims(message quorum.Message) {
	switch {
	case message.Kind == quorum.AppendReply && !message.Reject:
		m.acked = max(m.acked, message.LogIndex)
	case message.Kind == quorum.Vote:
		m.vote = quorum.HardState{Term: message.Term, Vote: m.id}
	case message.Kind == quorum.VoteReply && !message.Reject:
		m.vote = quorum.HardState{Term: message.Term, Vote: message.To}
	}
}

// dropReplaced lowers the highest acknowledged entry when a write replaces
// acknowledged entries; these need not be on the disk after a crash.
func (m *member) dropReplaced(w quorum.Write) {
	if w.Install != nil {
		m.acked = min(m.acked, w.Install.Index)
	}
	if len(w.Entries) > 0 {
		m.acked = min(m.acked, w.Entries[0].Index-1)
	}
}

// crashSoon crashes the node soon after a share of its votes and
// acknowledgements, when a missing sync would show.
func (m *member) crashSoon(message quorum.Message) {
	d := m.trial.driver
	share := 0.0
	switch message.Kind {
	case quorum.Vote, quorum.VoteReply:
		share = crashAfterVote
	case quorum.AppendReply:
		share = crashAfterAppend
	}
	if m.trial.faultsEnded || d.Random().Float64() >= share {
		return
	}
	d.At(sardine.Millis(d.Random().IntN(maxSyncMillis)), func(sardine.Millis) { d.Crash(m.id) })
	d.At(sardine.Millis(maxSyncMillis+d.Random().IntN(1000)), func(sardine.Millis) { d.Restart(m.id) })
}
