package repl

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/quorum"
)

// TestAddedMemberKnowsTheLeadersAddress guards against control nodes that know the
// leader but not its address, because they heard from it before they had the member
// list: nothing that they forward to the leader would arrive.
func TestAddedMemberKnowsTheLeadersAddress(t *testing.T) {
	small := quorum.DefaultLimits()
	small.KeepEntries = 3
	for name, options := range map[string][]Option{
		"entries":  nil,
		"snapshot": {WithSnapshotBytes(500), WithLimits(small)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, options...)
			l := s.leader()
			for i := range 50 {
				s.propose(l, i)
			}
			if name == "snapshot" {
				s.until(func() bool { return l.Status().Core.First > 10 })
			}
			added := s.start("c2", nil, options...)
			ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
			defer cancel()
			require.NoError(t, l.ChangeMember(ctx, quorum.MemberChange{
				Kind: quorum.AddLearner, Member: quorum.Member{Node: "c2", Address: "10.0.0.2:1"},
			}))
			s.until(func() bool { return added.Applied() == l.Applied() })
			require.Equal(t, l.ID(), added.Leader().ID)
			require.Equal(t, s.list[0].Address, added.Leader().Address)
		})
	}
}
