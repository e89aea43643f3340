package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/ports"
	"sardineswitch.dev/sardine/quorum"
)

// startSeeded starts a control node on an empty memory disk that asks the seeds to
// enrol it. With members it bootstraps the log.
func startSeeded(t *testing.T, m quorum.Member, seeds []string, members []quorum.Member, options ...Option) *Node {
	t.Helper()
	timing := DefaultTiming()
	timing.Quorum = quorum.Timing{Heartbeat: 50, ElectionMin: 300, ElectionMax: 450, FirstElectionMax: 100}
	n, err := New(append([]Option{
		WithID(m.Node, "test", "osu"), WithListen(m.Address, "127.0.0.1:0"),
		WithDisk(disk.NewMemory(rand.New(rand.NewPCG(1, 1)))), WithRandom(rand.New(rand.NewPCG(rand.Uint64(), 1))),
		WithTiming(timing), WithSeeds(seeds...), WithMembers(members...),
	}, options...)...)
	require.NoError(t, err)
	n.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.Stop(ctx)
	})
	return n
}

// siteMembers returns the members c1, c2 and so on of a new site, and their addresses.
func siteMembers(t *testing.T, count int) (addresses []string, members []quorum.Member) {
	t.Helper()
	block, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(block.Release)
	addresses, err = block.Addresses(count)
	require.NoError(t, err)
	for i, address := range addresses {
		members = append(members, quorum.Member{Node: sardine.NodeID(fmt.Sprintf("c%d", i+1)), Address: address})
	}
	return addresses, members
}

// silentAddress returns the address of a listener that accepts no connection: its peers
// connect and get no reply, as they do from a machine that has failed.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func (n *Node) lists(id sardine.NodeID) bool {
	return slices.ContainsFunc(n.log.Members(), func(m quorum.Member) bool { return m.Node == id })
}

// enrolLimit is the longest time until a new node is a learner while most of its seeds
// have failed. Control nodes may be replaced each 5 s, and a node follows the log
// for 4 s before it counts.
const enrolLimit = sardine.Second

// Guards against replacements of control nodes that come too late for the next one,
// because failed seeds used up the time in which a new node asks to be enrolled.
func TestNodeIsEnrolledBehindFailedSeeds(t *testing.T) {
	addresses, members := siteMembers(t, 3)
	var running []*Node
	for _, m := range members {
		running = append(running, startSeeded(t, m, addresses, members))
	}
	leads := func(n *Node) bool { return n.log.Leader().IsLeader }
	require.Eventually(t, func() bool { return slices.ContainsFunc(running, leads) }, 10*time.Second, 10*time.Millisecond)
	follower := running[slices.IndexFunc(running, func(n *Node) bool { return !leads(n) })]

	seeds := []string{silentAddress(t), silentAddress(t), silentAddress(t), silentAddress(t), follower.InternalAddress()}
	began := time.Now()
	startSeeded(t, quorum.Member{Node: "c9", Address: "127.0.0.1:0"}, seeds, nil)
	require.Eventually(t, func() bool { return follower.lists("c9") }, 20*time.Second, 5*time.Millisecond, "the new node is never enrolled")
	took := sardine.MillisOf(time.Since(began))
	t.Logf("enrolled after %d ms", took)
	require.Less(t, took, enrolLimit)
}

// simulated is the time that a test plays.
const simulated = 60 * sardine.Second

// Guards against members that flood the others with requests while the quorum is lost,
// and against ones that give up.
func TestMemberWithoutLeaderKeepsAsking(t *testing.T) {
	for name, c := range map[string]struct {
		listed      bool
		first, last sardine.Millis // when the first round starts, and the longest pause
	}{
		"member":       {true, leaderLossTimeout + 1, maxEnrolPause},
		"not enrolled": {false, 0, enrolInterval},
	} {
		t.Run(name, func(t *testing.T) {
			e := &enrolment{}
			var rounds []sardine.Millis
			for now := sardine.Millis(0); now < simulated; now++ {
				if e.due(now, c.listed, false) {
					rounds = append(rounds, now)
					e.requested(now, c.listed)
				}
			}
			require.Equal(t, c.first, rounds[0])
			for i := range rounds[1:] {
				require.LessOrEqual(t, rounds[i+1]-rounds[i], c.last)
			}
			require.Equal(t, c.last, rounds[len(rounds)-1]-rounds[len(rounds)-2])
			require.Less(t, simulated-rounds[len(rounds)-1], c.last+1)
			require.False(t, e.due(simulated, true, true), "it has a leader")
			require.False(t, e.due(simulated+leaderLossTimeout, true, false), "an election may take this long")
			require.True(t, e.due(simulated+leaderLossTimeout+1, true, false))
		})
	}
}
