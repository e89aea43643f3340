package repl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/store"
)

// loseMajority stops all members of a site of five, c4 first, so that it lacks entries,
// and loses the data folders of c1 to c3.
func loseMajority(s *site) (committed int) {
	n := s.leader()
	for ; committed < 20; committed++ {
		s.propose(n, committed)
	}
	s.network.mu.Lock()
	s.network.disconnected["c4"] = true
	s.network.mu.Unlock()
	if n.Leader().ID == "c4" {
		n = s.leader()
	}
	for ; committed < 30; committed++ {
		s.propose(n, committed)
	}
	s.until(func() bool { return s.network.nodes["c5"].Applied() >= n.Applied() })
	for _, m := range s.list {
		require.NoError(s.t, s.stop(s.network.nodes[m.Node]))
	}
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	delete(s.network.disconnected, "c4")
	for _, id := range []sardine.NodeID{"c1", "c2", "c3"} {
		delete(s.network.nodes, id)
		delete(s.disks, id)
	}
	return committed
}

// Guards against a site that stays down although a control node with all its settings is
// left: the newest survivor goes on alone, keeps every command, and the other one joins it.
func TestNewestSurvivorGoesOnAlone(t *testing.T) {
	s := newSite(t, 5)
	committed := loseMajority(s)
	older, err := Inspect(s.disks["c4"], "test", "c4")
	require.NoError(t, err)
	newest, err := Inspect(s.disks["c5"], "test", "c5")
	require.NoError(t, err)
	require.Greater(t, newest.Last.Index, older.Last.Index)
	lost := []sardine.NodeID{"c1", "c2", "c3"}

	_, err = Rescue(s.disks["c4"], "test", "c4", lost, map[sardine.NodeID]quorum.Position{"c5": newest.Last})
	require.ErrorContains(t, err, "newer")
	_, err = Rescue(s.disks["c5"], "test", "c5", lost, map[sardine.NodeID]quorum.Position{"c4": older.Last})
	require.NoError(t, err)

	n := s.start("c5", nil)
	s.until(func() bool { return n.Leader().IsLeader })
	require.Greater(t, n.Applied(), newest.Last.Index+rescueGap-1, "no index is assigned twice")
	n.View(func(m *state.Machine) {
		require.Len(t, m.Entries(), committed)
		require.Greater(t, m.Index(), newest.Last.Index+rescueGap-1)
	})
	s.propose(n, committed)

	c4 := s.start("c4", nil)
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	change := quorum.MemberChange{Kind: quorum.AddLearner, Member: quorum.Member{Node: "c4", Address: "10.0.0.4:1"}}
	require.NoError(t, n.ChangeMember(ctx, change))
	s.until(func() bool { return c4.Applied() >= n.Applied() })
	c4.View(func(m *state.Machine) { require.Len(t, m.Entries(), committed+1) })
	change.Kind = quorum.Promote
	s.until(func() bool { return n.ChangeMember(ctx, change) == nil })
	s.propose(n, committed+1)
	s.until(func() bool { return len(c4.Members()) == 2 && c4.Applied() >= n.Applied() })
}

// Guards against a rescue that splits the site or drops what others hold: it needs each
// other voter named, and too few of them for a quorum.
func TestRescueIsRefused(t *testing.T) {
	position := func(index uint64) quorum.Position { return quorum.Position{Index: index, Term: 3} }
	remains := Remains{Node: "c5", Last: position(50), Settled: true}
	for i := range 5 {
		remains.Members = append(remains.Members, quorum.Member{Node: sardine.NodeID(fmt.Sprintf("c%d", i+1))})
	}
	remains.Members = append(remains.Members, quorum.Member{Node: "c6", Learner: true})
	lost := []sardine.NodeID{"c1", "c2", "c3"}
	others := map[sardine.NodeID]quorum.Position{"c4": position(49)}
	require.NoError(t, checkRescue(remains, lost, others))
	unsettled, learner := remains, remains
	unsettled.Settled = false
	learner.Node = "c6"
	for name, c := range map[string]struct {
		remains Remains
		lost    []sardine.NodeID
		others  map[sardine.NodeID]quorum.Position
		want    string
	}{
		"none named":         {remains, nil, nil, "c1 must be named"},
		"one not named":      {remains, []sardine.NodeID{"c1", "c2"}, others, "c3 must be named"},
		"named twice":        {remains, []sardine.NodeID{"c1", "c2", "c3", "c4"}, others, "c4 must be named"},
		"unknown lost":       {remains, []sardine.NodeID{"c1", "c2", "c3", "c9"}, others, "c9 is not another voter"},
		"itself lost":        {remains, []sardine.NodeID{"c1", "c2", "c3", "c5"}, others, "c5 is not another voter"},
		"unknown survivor":   {remains, []sardine.NodeID{"c1", "c2", "c3", "c4"}, map[sardine.NodeID]quorum.Position{"c9": position(1)}, "c9 is not another voter"},
		"a quorum is left":   {remains, []sardine.NodeID{"c1", "c2"}, map[sardine.NodeID]quorum.Position{"c3": position(1), "c4": position(1)}, "3 of 5 voters are left"},
		"newer index":        {remains, lost, map[sardine.NodeID]quorum.Position{"c4": position(51)}, "c4 is newer"},
		"newer term":         {remains, lost, map[sardine.NodeID]quorum.Position{"c4": {Index: 1, Term: 4}}, "c4 is newer"},
		"may lack entries":   {unsettled, lost, others, "may replace a lost one"},
		"a learner's folder": {learner, lost, others, "c6 has no vote"},
	} {
		err := checkRescue(c.remains, c.lost, c.others)
		require.ErrorContains(t, err, c.want, name)
		require.True(t, codes.Is(err, codes.BadRequest), name)
	}
}

// Guards against a rescue that is repeated, or tried on a folder without a log.
func TestRescueOfRescuedOrEmptyFolder(t *testing.T) {
	s := newSite(t, 5)
	loseMajority(s)
	others := map[sardine.NodeID]quorum.Position{"c4": {}}
	lost := []sardine.NodeID{"c1", "c2", "c3"}
	_, err := Rescue(s.disks["c5"], "test", "c5", lost, others)
	require.NoError(t, err)
	_, err = Rescue(s.disks["c5"], "test", "c5", lost, others)
	require.True(t, codes.Is(err, codes.BadRequest), "%v", err)
	_, err = Inspect(s.memory("c9"), "test", "c9")
	require.True(t, codes.Is(err, codes.BadRequest), "%v", err)
}

// Guards against a data folder that a power loss during its rescue leaves unreadable, or
// with neither the old log nor the new one.
func TestRescueSurvivesCrash(t *testing.T) {
	members := []quorum.Member{{Node: "c1"}, {Node: "c2"}, {Node: "c3"}}
	rescued := 0
	for after := range 12 {
		for seed := range uint64(10) {
			d := disk.NewMemory(rand.New(rand.NewPCG(seed, uint64(after))))
			files, _, err := store.Open(d, store.Identity{Site: "test", Node: "c3"})
			require.NoError(t, err)
			_, err = files.Bootstrap(members, true)
			require.NoError(t, err)
			for i := range uint64(5) {
				entry := quorum.Entry{Index: i + 2, Term: 1, Kind: quorum.KindEmpty}
				require.NoError(t, files.Write(quorum.Write{Entries: []quorum.Entry{entry}}))
			}
			require.NoError(t, files.Close())
			before, err := Inspect(d, "test", "c3")
			require.NoError(t, err)

			d.FailSyncs(after, 100)
			_, failed := Rescue(d, "test", "c3", []sardine.NodeID{"c1", "c2"}, nil)
			d.Crash()
			d.FailSyncs(0, 0)
			now, err := Inspect(d, "test", "c3")
			require.NoError(t, err, "after %d syncs, seed %d", after, seed)
			if len(now.Members) == 1 {
				rescued++
				require.Equal(t, before.Last.Index+rescueGap, now.Last.Index)
				continue
			}
			require.Error(t, failed)
			require.Equal(t, before, now)
		}
	}
	require.NotZero(t, rescued)
	require.Less(t, rescued, 120)
}
