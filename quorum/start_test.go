package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// restartTiming makes members start their first election within half the shortest
// election timeout.
var restartTiming = Timing{Heartbeat: 400, ElectionMin: 850, ElectionMax: 1150, FirstElectionMax: 425}

// TestRestartedSiteElectsWithinTimeout restarts all members of a site within
// 400 ms of each other, as after a power loss. There is no leader to wait for, so
// a new one must be elected in less than the shortest election timeout.
func TestRestartedSiteElectsWithinTimeout(t *testing.T) {
	for seed := range uint64(20) {
		s := &cluster{cores: make(map[sardine.NodeID]*Core), down: make(map[sardine.NodeID]bool), now: 10_000}
		random := rand.New(rand.NewPCG(seed, 1))
		members := []Member{{Node: "c1"}, {Node: "c2"}, {Node: "c3"}, {Node: "c4"}, {Node: "c5"}}
		up := s.now
		for _, m := range members {
			s.now += sardine.Millis(random.IntN(100))
			up = s.now
			s.restart(m.Node, members, random)
		}
		require.Less(t, s.untilLeader(t)-up, restartTiming.ElectionMin, "seed %d", seed)
	}
}

// TestRestartedMemberKeepsLeader restarts one follower while the others have a
// leader. Its short first timeout must not start an election that raises the
// term.
func TestRestartedMemberKeepsLeader(t *testing.T) {
	for seed := range uint64(20) {
		s := &cluster{cores: make(map[sardine.NodeID]*Core), down: make(map[sardine.NodeID]bool), now: 10_000}
		random := rand.New(rand.NewPCG(seed, 2))
		members := []Member{{Node: "c1"}, {Node: "c2"}, {Node: "c3"}}
		for _, m := range members {
			s.restart(m.Node, members, random)
		}
		s.untilLeader(t)
		term := s.cores["c1"].Status().Term
		for _, m := range members {
			if s.cores[m.Node].Status().Role != Leader {
				s.restart(m.Node, members, random)
				break
			}
		}
		for range 300 {
			s.step()
		}
		for _, m := range members {
			require.LessOrEqual(t, s.cores[m.Node].Status().Term, term, "seed %d", seed)
		}
	}
}

// restart starts a node with the hard state of its previous core, or with the
// state of a member of an established site if it has none.
func (s *cluster) restart(id sardine.NodeID, members []Member, random sardine.Random) {
	last := Position{Index: 50, Term: 7}
	stored := Stored{Snapshot: Snapshot{Position: last, Members: members}, Base: last, Hard: HardState{Term: 7, Vote: "c1", Settled: true, Folder: 1}}
	if old := s.cores[id]; old != nil {
		stored.Hard = old.hard
	}
	if s.cores[id] == nil {
		s.order = append(s.order, id)
	}
	s.cores[id] = New(id, random, stored, s.now, WithFolder(1), WithTiming(restartTiming))
}

// step advances the time by 10 ms and delivers all messages.
func (s *cluster) step() {
	s.now += 10
	for _, id := range s.order {
		s.cores[id].Tick(s.now)
	}
	s.deliver()
}

// untilLeader runs the cluster until there is a leader and returns the time.
func (s *cluster) untilLeader(t *testing.T) sardine.Millis {
	t.Helper()
	for range 500 {
		s.step()
		for _, id := range s.order {
			if s.cores[id].Status().Role == Leader {
				return s.now
			}
		}
	}
	t.Fatal("no leader")
	return 0
}
