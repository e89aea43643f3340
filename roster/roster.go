package roster

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

const (
	// voterSilence is how long a voter must be silent before it may lose its vote to a
	// successor. It is longer than an election.
	voterSilence = 2 * sardine.Second
	// surplusSilence is how long one of an even number of voters must be silent before it may
	// lose its vote: the quorum is as large without it as with one voter more. It is longer
	// than an election timeout.
	surplusSilence = 1250 * sardine.Millis(1)
	// answerDelay is how long a voter that answers may be silent. It is longer than the time
	// between two heartbeats.
	answerDelay = 600 * sardine.Millis(1)
	// learnerSilence is how long a learner must be silent before it is removed.
	learnerSilence = 10 * sardine.Second
)

// Peer is what the leader knows of another member.
type Peer struct {
	Member   quorum.Member
	Silent   sardine.Millis // time since its last reply
	CaughtUp bool           // a learner that may be promoted
}

// Next returns the next change of the member list, if one is due. The leader, which is
// not among the peers, has a vote. The change never lowers the number of answering voters
// that the quorum can lose.
//
// A successor gets its vote after the silent voter has lost its own, never before: the size
// of the quorum then stays the same, and a successor that ends soon is not needed for it.
func Next(peers []Peer) (change quorum.MemberChange, due bool) {
	s := survey(peers)
	even := s.voters%2 == 0
	switch {
	case s.hasReady && (even || s.allAnswer):
		return quorum.MemberChange{Kind: quorum.Promote, Member: s.ready.Member}, true
	case even && s.silent.Silent > surplusSilence, s.hasReady && s.silent.Silent > voterSilence:
		return quorum.MemberChange{Kind: quorum.Remove, Member: s.silent.Member}, true
	}
	for _, p := range peers {
		if p.Member.Learner && p.Silent > learnerSilence {
			return quorum.MemberChange{Kind: quorum.Remove, Member: p.Member}, true
		}
	}
	return quorum.MemberChange{}, false
}

// summary is what decides the next change.
type summary struct {
	voters    int  // with the leader
	allAnswer bool // no voter may have been lost
	silent    Peer // the voter that has been silent for the longest time
	ready     Peer // the first learner that has caught up
	hasReady  bool
}

func survey(peers []Peer) summary {
	s := summary{voters: 1, allAnswer: true}
	for _, p := range peers {
		if p.Member.Learner {
			if p.CaughtUp && !s.hasReady {
				s.ready, s.hasReady = p, true
			}
			continue
		}
		s.voters++
		s.allAnswer = s.allAnswer && p.Silent <= answerDelay
		if p.Silent > s.silent.Silent {
			s.silent = p
		}
	}
	return s
}
