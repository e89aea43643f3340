package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// servingLog returns a log with a plain target p, a group of a and b that serves under the
// returned epoch, and an idle engine c.
func servingLog(t *testing.T) (*state.Machine, sardine.Epoch) {
	m := state.NewMachine()
	apply := func(c state.Command) {
		require.NoError(t, m.Apply(m.Index()+1, 1, c).Err)
	}
	plain := announcement("p", 1)
	plain.Kind = sardine.KindPlain
	for _, a := range []sardine.Announcement{plain, announcement("a", 1), announcement("b", 1), announcement("c", 1)} {
		apply(state.TargetUp{Target: state.TargetOf(a)})
	}
	members := []sardine.Member{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1, Rank: 1}}
	apply(state.AssignGroup{Group: sardine.Group{ID: "g", Team: "t", Service: "s", Model: "m", Members: members, State: sardine.GroupAssigned}})
	g, _ := m.Group("g")
	apply(state.MoveGroup{Group: "g", Epoch: g.Epoch, State: sardine.GroupLoading})
	apply(state.MoveGroup{Group: "g", Epoch: g.Epoch, State: sardine.GroupServing})
	return m, g.Epoch
}

// TestElectedLeaderKeepsTargetsThatAnswer guards against a new leader that declares targets
// lost which serve requests, but have not announced themselves to it yet.
func TestElectedLeaderKeepsTargetsThatAnswer(t *testing.T) {
	m, epoch := servingLog(t)
	l := NewLeader()
	l.Lead(0, 1)
	lost := func(now sardine.Millis) []state.Command {
		l.Observe(now, "e1", []Observation{
			{Group: "g", Epoch: epoch, InFlight: 1, ProgressAge: 100}, {VM: "p", Incarnation: 1, InFlight: 1, ProgressAge: 100},
		})
		return l.Commands(now, m)
	}
	require.Empty(t, lost(DefaultGrace-100))
	require.Equal(t, []state.Command{state.TargetDown{VM: "c", Incarnation: 1}}, lost(DefaultGrace+100), "nobody observes the idle one")
	s, live := l.Live(DefaultGrace+100, "b")
	require.True(t, live)
	require.Equal(t, sardine.CurrentOrder{Group: "g", Epoch: epoch, Rank: 1, Model: "m", State: sardine.MemberReady}, s.CurrentOrder)
	released := announcement("b", 1)
	l.Merge(DefaultGrace+200, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: released, Age: 150}}})
	s, live = l.Live(DefaultGrace+200, "b")
	require.True(t, live)
	require.Equal(t, released.CurrentOrder, s.CurrentOrder, "its own announcement counts")
	l.Observe(DefaultGrace+300, "e1", []Observation{{VM: "p", Incarnation: 1, InFlight: 1, ProgressAge: -1, Stalled: true}})
	require.Contains(t, l.Commands(DefaultGrace+300, m), state.TargetDown{VM: "p", Incarnation: 1}, "it answers no more")
}
