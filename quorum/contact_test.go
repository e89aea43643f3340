package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// Guards against a lost quorum that no node can describe: four of eight voters run, each
// says that five are needed, which ones are silent, and since when no leader is known.
func TestVotersWithoutLeaderKnowWhoIsSilent(t *testing.T) {
	s := &cluster{cores: make(map[sardine.NodeID]*Core), down: make(map[sardine.NodeID]bool), now: 10_000}
	random := rand.New(rand.NewPCG(1, 3))
	members := []Member{{Node: "c1"}, {Node: "c2"}, {Node: "c3"}, {Node: "c4"}, {Node: "c5"}, {Node: "c6"}, {Node: "c7"}, {Node: "c8"}, {Node: "c9", Learner: true}}
	for _, m := range members {
		s.restart(m.Node, members, random)
	}
	s.untilLeader(t)
	for range 100 {
		s.step()
	}
	for _, id := range s.order {
		_, _, ok := s.cores[id].Status().Reach()
		require.False(t, ok, "%s has a leader", id)
	}
	cut := s.now
	for _, id := range []sardine.NodeID{"c1", "c2", "c3", "c4"} {
		s.down[id] = true
	}
	for range 500 {
		s.step()
	}
	for _, id := range []sardine.NodeID{"c5", "c6", "c7", "c8"} {
		status := s.cores[id].Status()
		reach, silent, ok := status.Reach()
		require.True(t, ok)
		require.Equal(t, Margin{Voters: 8, Answering: 4, Needed: 5}, reach, "%s", id)
		require.Equal(t, []sardine.NodeID{"c1", "c2", "c3", "c4"}, silent, "%s", id)
		require.LessOrEqual(t, status.LeaderSince-cut, 2*restartTiming.ElectionMax, "%s", id)
		require.GreaterOrEqual(t, status.LeaderSince, cut, "%s", id)
	}
	_, _, ok := s.cores["c9"].Status().Reach()
	require.False(t, ok, "a learner exchanges no messages with the others")
	s.down["c1"] = false
	s.untilLeader(t)
}
