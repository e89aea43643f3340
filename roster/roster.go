package roster

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// maxSilence is how long a member must be silent before it may be removed. It is longer
// than a restart or a pause of several seconds.
const maxSilence = 10 * sardine.Second

// Peer is what the leader knows of another member.
type Peer struct {
	Member   quorum.Member
	Silent   sardine.Millis // time since its last reply
	CaughtUp bool           // a learner that may be promoted
}

func (p Peer) lost() bool {
	return p.Silent > maxSilence
}

// Next returns the next change of the member list, if one is due. The leader, which is
// not among the peers, has a vote. A silent voter is removed only while the number of
// voters is even: another node has then replaced it, and the quorum tolerates as many
// failures without it.
func Next(peers []Peer) (change quorum.MemberChange, due bool) {
	voters := 1
	for _, p := range peers {
		if !p.Member.Learner {
			voters++
		}
	}
	for _, p := range peers {
		if p.Member.Learner && p.CaughtUp {
			return quorum.MemberChange{Kind: quorum.Promote, Member: p.Member}, true
		}
	}
	for _, p := range peers {
		if p.lost() && (p.Member.Learner || voters%2 == 0) {
			return quorum.MemberChange{Kind: quorum.Remove, Member: p.Member}, true
		}
	}
	return quorum.MemberChange{}, false
}
