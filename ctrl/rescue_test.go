package ctrl

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
)

// Guards against survivors that stay alone after a rescue: the one that was not rescued
// still lists the lost voters, and joins by itself.
func TestSurvivorJoinsRescuedNode(t *testing.T) {
	addresses, members := siteMembers(t, 5)
	disks := map[sardine.NodeID]*disk.Memory{}
	start := func(m quorum.Member, initial []quorum.Member) *Node {
		if disks[m.Node] == nil {
			disks[m.Node] = disk.NewMemory(rand.New(rand.NewPCG(1, 1)))
		}
		return startSeeded(t, m, addresses, initial, WithDisk(disks[m.Node]))
	}
	var running []*Node
	for _, m := range members {
		running = append(running, start(m, members))
	}
	require.Eventually(t, func() bool { return running[3].log.Leader().ID != "" && running[4].log.Leader().ID != "" }, 10*time.Second, 10*time.Millisecond)
	for _, n := range running {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.NoError(t, n.Stop(ctx))
	}
	c4, err := repl.Inspect(disks["c4"], "test", "c4")
	require.NoError(t, err)
	c5, err := repl.Inspect(disks["c5"], "test", "c5")
	require.NoError(t, err)
	chosen, other := c5, c4
	if c4.Last.Term > c5.Last.Term || c4.Last.Term == c5.Last.Term && c4.Last.Index > c5.Last.Index {
		chosen, other = c4, c5
	}
	_, err = repl.Rescue(disks[chosen.Node], "test", chosen.Node, []sardine.NodeID{"c1", "c2", "c3"}, map[sardine.NodeID]quorum.Position{other.Node: other.Last})
	require.NoError(t, err)

	byName := map[sardine.NodeID]quorum.Member{"c4": members[3], "c5": members[4]}
	joining := start(byName[other.Node], nil)
	rescued := start(byName[chosen.Node], nil)
	require.Eventually(t, func() bool { return rescued.log.Leader().IsLeader }, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		return len(rescued.Voters()) == 2 && len(joining.Voters()) == 2 && joining.log.Leader().ID == chosen.Node
	}, 20*time.Second, 20*time.Millisecond)
}
