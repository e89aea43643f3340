package roster

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

const (
	// voterSilence is how long a voter must be silent before it may lose its vote. It is
	// longer than an election.
	voterSilence = 2 * sardine.Second
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
func Next(peers []Peer) (change quorum.MemberChange, due bool) {
	if p, found := removableVoter(peers); found {
		return quorum.MemberChange{Kind: quorum.Remove, Member: p.Member}, true
	}
	for _, p := range peers {
		if p.Member.Learner && p.CaughtUp {
			return quorum.MemberChange{Kind: quorum.Promote, Member: p.Member}, true
		}
	}
	for _, p := range peers {
		if p.Member.Learner && p.Silent > learnerSilence {
			return quorum.MemberChange{Kind: quorum.Remove, Member: p.Member}, true
		}
	}
	return quorum.MemberChange{}, false
}

// removableVoter returns the voter that has been silent for the longest time, if it may lose
// its vote. An even number of voters needs as many for a quorum as the next higher odd one, so
// the quorum can lose one voter more without it. With an odd number it keeps its vote until a
// successor has one.
func removableVoter(peers []Peer) (voter Peer, found bool) {
	voters := 1
	for _, p := range peers {
		if p.Member.Learner {
			continue
		}
		voters++
		if p.Silent > voterSilence && p.Silent > voter.Silent {
			voter, found = p, true
		}
	}
	return voter, found && voters%2 == 0
}
