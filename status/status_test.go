package status

import (
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// site returns the state of a small site: one group of two VMs, one free VM, one
// plain service, two entry nodes, and what a node knows about them.
func site(t *testing.T) (*state.Machine, Input) {
	document, err := os.ReadFile("testdata/adinkra.toml")
	require.NoError(t, err)
	m := state.NewMachine()
	index := uint64(0)
	apply := func(c state.Command) {
		index++
		require.NoError(t, m.Apply(index, 1000, c).Err)
	}
	in := Input{Node: "osu-control", Role: RoleControl, Site: "accra", At: 5000, Leader: "osu-control"}
	for _, n := range []sardine.NodeID{"osu-entry-1", "tema-entry-1"} {
		apply(state.JoinEntry{Node: n, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "osu"})
		in.Leases = append(in.Leases, EntryLease{Node: n, Held: true, Applied: 99})
	}
	apply(state.ChangeSettings{Team: "adinkra", ChangeID: "c1", Document: string(document)})
	var members []sardine.Member
	for i, vm := range []sardine.VMID{"vm-1", "vm-2", "vm-3"} {
		apply(state.TargetUp{Target: state.Target{VM: vm, Incarnation: 1, Kind: sardine.KindEngine, Domain: "rack-1", Accelerators: 4}})
		in.Announced = append(in.Announced, AnnouncedTarget{VM: vm, Incarnation: 1, Present: true})
		if i < 2 {
			members = append(members, sardine.Member{VM: vm, Incarnation: 1, Rank: i})
		}
	}
	apply(state.TargetUp{Target: state.Target{VM: "app-1", Incarnation: 1, Kind: sardine.KindPlain, Service: "box_office"}})
	in.Announced = append(in.Announced, AnnouncedTarget{VM: "app-1", Incarnation: 1, Present: true})
	apply(state.AssignGroup{Group: sardine.Group{ID: "g1", Team: "adinkra", Service: "surtitle", Domain: "rack-1", Members: members}})
	apply(state.MoveGroup{Group: "g1", Epoch: sardine.Epoch(index), State: sardine.GroupServing})
	for i, n := range []sardine.NodeID{"osu-control", "tema-control", "legon-control"} {
		in.Peers = append(in.Peers, Peer{Node: n, Leader: i == 0, Reachable: true})
	}
	return m, in
}

func TestHealthySitePassesChecksAndRoundTrips(t *testing.T) {
	m, in := site(t)
	r := Build(m, in, NewHistory())
	require.True(t, r.AllPassed(), "%+v", r.Checks)
	text, err := Encode(r)
	require.NoError(t, err)
	again, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, mustEncode(t, r), mustEncode(t, again))
	free, found := r.Target("vm-3")
	require.True(t, found)
	require.Equal(t, "free", free.Condition.State)
}

func mustEncode(t *testing.T, r Report) string {
	text, err := Encode(r)
	require.NoError(t, err)
	return string(text)
}

// TestEachFailureBreaksItsChecks causes one failure at a time and lists the checks
// that it must break; all others must hold.
func TestEachFailureBreaksItsChecks(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Input)
		apply  state.Command
		broken []string
	}{
		"quorum lost": {change: func(in *Input) { in.Peers[1].Reachable, in.Peers[2].Reachable = false, false }, broken: []string{"settings can be changed"}},
		"no leader": {change: func(in *Input) { in.Leader = "" }, broken: []string{
			"settings can be changed", "every entry node serves", "accepted settings are in force", "every wanted group serves",
		}},
		"entry cut off":    {change: func(in *Input) { in.Leases[1].Held = false }, broken: []string{"every entry node serves"}},
		"change spreading": {change: func(in *Input) { in.Leases[1].Applied = 1 }, broken: []string{"accepted settings are in force"}},
		"group degraded":   {apply: state.MoveGroup{Group: "g1", Epoch: 8, State: sardine.GroupDegraded}, broken: []string{"every wanted group serves"}},
	} {
		m, in := site(t)
		if c.change != nil {
			c.change(&in)
		}
		if c.apply != nil {
			require.NoError(t, m.Apply(m.Index()+1, 2000, c.apply).Err)
		}
		for _, check := range Build(m, in, NewHistory()).Checks {
			require.Equal(t, !slices.Contains(c.broken, check.Name), check.Passed, "%s: %s", name, check.Name)
			require.Equal(t, check.Passed, check.Detail == "")
		}
	}
}

func TestMissingMemberAndSince(t *testing.T) {
	m, in := site(t)
	h := NewHistory()
	Build(m, in, h)
	in.At, in.Announced[1].Present = 9000, false
	r := Build(m, in, h)
	g, _ := r.Group("g1")
	require.False(t, g.Condition.Healthy)
	require.False(t, g.Members[1].Present)
	lost, _ := r.Target("vm-2")
	require.Equal(t, "lost", lost.Condition.State)
	require.EqualValues(t, 9000, lost.Condition.Since)
	in.At = 12000
	lost, _ = Build(m, in, h).Target("vm-2")
	require.EqualValues(t, 9000, lost.Condition.Since)
	require.NotEmpty(t, lost.Condition.OperatorAction)
	restarted := in
	restarted.Announced = append([]AnnouncedTarget(nil), in.Announced...)
	restarted.Announced[0].Incarnation = 2
	g, _ = Build(m, restarted, h).Group("g1")
	require.False(t, g.Members[0].Present, "another incarnation is not the member")
}

// TestFollowerReportsUnknown guards against a control node that is not the leader,
// and so receives neither leases nor announcements, but reports everything as lost.
func TestFollowerReportsUnknown(t *testing.T) {
	m, in := site(t)
	in.Node, in.Announced, in.Leases = "tema-control", nil, nil
	r := Build(m, in, NewHistory())
	require.False(t, r.AllPassed())
	for _, e := range r.Entries {
		require.Equal(t, Unknown, e.Condition.State)
	}
	for _, k := range r.Targets {
		require.Equal(t, Unknown, k.Condition.State)
	}
	require.True(t, r.Groups[0].Members[0].Present, "a follower can't report a member as missing")
}

func TestSpareIsHealthy(t *testing.T) {
	m, in := site(t)
	spare := sardine.Group{ID: "spare.1", Team: "adinkra", Domain: "rack-1", Members: []sardine.Member{{VM: "vm-3", Incarnation: 1}}}
	require.NoError(t, m.Apply(m.Index()+1, 1, state.AssignGroup{Group: spare}).Err)
	g, _ := Build(m, in, NewHistory()).Group("spare.1")
	require.Equal(t, "spare", g.Condition.State)
	require.True(t, g.Condition.Healthy)
	in.Announced[2].Present = false
	g, _ = Build(m, in, NewHistory()).Group("spare.1")
	require.False(t, g.Condition.Healthy)
}

// TestLostTargetIsListedAfterItsRemoval removes targets from the state: a lost one
// stays in the report until it returns or the retention time ends, one that had
// announced that it leaves does not.
func TestLostTargetIsListedAfterItsRemoval(t *testing.T) {
	m, in := site(t)
	h := NewHistory()
	Build(m, in, h)
	apply := func(c state.Command) { require.NoError(t, m.Apply(m.Index()+1, 1000, c).Err) }
	apply(state.TargetLeaving{VM: "app-1", Incarnation: 1})
	in.At += 1000
	Build(m, in, h)
	apply(state.TargetDown{VM: "app-1", Incarnation: 1})
	apply(state.TargetDown{VM: "vm-3", Incarnation: 1})
	in.At += 1000
	lostAt := in.At
	for range 3 {
		r := Build(m, in, h)
		lost, listed := r.Target("vm-3")
		require.True(t, listed)
		require.Equal(t, "lost", lost.Condition.State)
		require.Equal(t, lostAt, lost.Condition.Since)
		_, listed = r.Target("app-1")
		require.False(t, listed, "it had announced that it leaves")
		in.At += 1000
	}
	apply(state.TargetUp{Target: state.Target{VM: "vm-3", Incarnation: 2, Kind: sardine.KindEngine, Domain: "rack-1", Accelerators: 4}})
	in.Announced[2] = AnnouncedTarget{VM: "vm-3", Incarnation: 2, Present: true}
	r := Build(m, in, h)
	back, _ := r.Target("vm-3")
	require.Equal(t, "free", back.Condition.State)
	apply(state.TargetDown{VM: "vm-3", Incarnation: 2})
	Build(m, in, h)
	in.At += state.WallTime(lostRetention) + 1
	r = Build(m, in, h)
	_, listed := r.Target("vm-3")
	require.False(t, listed, "dropped after %d ms", lostRetention)
}

// Guards against a lost quorum that reads as one whose members are all reachable, as the
// record of four running voters of eight did.
func TestLeaderlessVoterNamesSilentVoters(t *testing.T) {
	m, in := site(t)
	in.Leader, in.LeaderlessFor = "", 12_345
	in.Announced, in.Leases = nil, nil
	in.Peers[0].Leader = false
	for i := range in.Peers {
		in.Peers[i].Observed = true
	}
	for i := range 4 {
		in.Peers = append(in.Peers, Peer{Node: sardine.NodeID("gone-" + string(rune('1'+i))), Observed: true})
	}
	in.Peers = append(in.Peers, Peer{Node: "next", Reachable: true}, Peer{Node: "learner", Learner: true, Reachable: true})
	r := Build(m, in, NewHistory())
	require.False(t, r.Checks[0].Passed)
	require.Equal(t, `4 of 8 control members reachable, 5 needed, leader "", none for 12s; no answer from gone-1, gone-2, gone-3, gone-4`, r.Checks[0].Detail)
	var states []string
	for _, k := range r.Controls {
		states = append(states, k.Condition.State)
	}
	require.Equal(t, []string{"leaderless", "leaderless", "leaderless", "unreachable", "unreachable", "unreachable", "unreachable", Unknown, Unknown}, states)
}
