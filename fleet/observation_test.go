package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func groupObservation(flights int, alive sardine.Millis, stalled bool) Observation {
	return Observation{Group: "g", Epoch: 1, InFlight: flights, ProgressAge: alive, Stalled: stalled}
}

func TestObservationsAreMergedOverNodes(t *testing.T) {
	w := NewObservations()
	w.Merge(1000, "e1", []Observation{groupObservation(2, 400, false)})
	w.Merge(1000, "e2", []Observation{groupObservation(3, -1, false)})
	require.Equal(t, []Observation{groupObservation(5, 500, false)}, w.Merged(1100))
	require.Equal(t, []InFlightCount{{Group: "g", Epoch: 1, Count: 5}}, w.InFlightCounts())
	w.Merge(2500, "e2", []Observation{groupObservation(1, -1, true)})
	require.Equal(t, []Observation{groupObservation(3, 1900, true)}, w.Merged(2500))
	require.Equal(t, []Observation{groupObservation(1, 2400, false)}, w.Merged(3000), "the count of e1 has expired, the stall was returned before")
	w.Merge(3100, "e2", []Observation{groupObservation(1, -1, true)})
	w.Merge(3200, "e1", []Observation{groupObservation(1, 0, false)})
	require.Equal(t, []Observation{groupObservation(2, 0, false)}, w.Merged(3200), "later progress outweighs the stall")
	require.Empty(t, w.Merged(9000))
}

// TestOnlyNewStallsAreUrgent guards against an urgent report for each entry node that
// sees the same stall again: with many nodes the leader would have little time left.
func TestOnlyNewStallsAreUrgent(t *testing.T) {
	w := NewObservations()
	stalled := []Observation{groupObservation(1, -1, true)}
	require.False(t, w.Merge(1000, "e1", []Observation{groupObservation(1, 0, false)}))
	require.True(t, w.Merge(1100, "e1", stalled))
	for now := sardine.Millis(1150); now < 10_000; now += 50 {
		require.False(t, w.Merge(now, "e2", stalled), "%d", now)
	}
	require.True(t, w.Merge(9950+stallRepeat, "e1", stalled))
}

// plainLeader returns a Leader since time 0 that has a report of the plain target
// a from home one.
func plainLeader() *Leader {
	l := NewLeader(WithOverdue(1500))
	l.Lead(0, 1)
	a := announcement("a", 1)
	a.Kind = sardine.KindPlain
	l.Merge(2000, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: a}}})
	return l
}

// TestStallCountsAgainstLateTargetsOnly checks that a target that announces
// itself in time to any home is alive, whatever entry nodes observe.
func TestStallCountsAgainstLateTargetsOnly(t *testing.T) {
	late := []Ref{{VM: "a", Incarnation: 1}}
	stalled := []Observation{{VM: "a", Incarnation: 1, InFlight: 1, ProgressAge: -1, Stalled: true}}
	l := plainLeader()
	l.Overdue("one", late)
	_, live := l.Live(2100, "a")
	require.True(t, live, "an overdue announcement alone is no proof")
	l.Observe(2100, "e1", stalled)
	_, live = l.Live(2100, "a")
	require.False(t, live)
	l.Overdue("one", nil)
	_, live = l.Live(2100, "a")
	require.True(t, live)
	l.Overdue("one", late)
	moved := announcement("a", 1)
	moved.Kind = sardine.KindPlain
	l.Merge(2200, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: moved}}})
	_, live = l.Live(2200, "a")
	require.True(t, live, "it announces itself to another home")
}

// TestDelayedAnnouncementIsIgnored covers an announcement that reaches another
// home after its successor has reached the first one. The leader recognises it
// as older by its serial.
func TestDelayedAnnouncementIsIgnored(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	newer, older := announcement("a", 1), announcement("a", 1)
	newer.Sequence, newer.Leaving = 8, true
	older.Sequence = 7
	l.Merge(1000, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: newer}}})
	l.Merge(1500, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: older}}})
	s, live := l.Live(1500, "a")
	require.True(t, live)
	require.True(t, s.Leaving)
}

// TestRenewedHomeReportsInFull restarts a home after its clock was set back, so
// that its incarnation is earlier than the leader's. The home must then use an
// incarnation after that one.
func TestRenewedHomeReportsInFull(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	l.RecordContact(0, "one", 9)
	h := NewHome("one", 5)
	require.NoError(t, h.Announce(10, announcement("a", 1)))
	r, _ := h.Report(10)
	l.Merge(10, r)
	_, live := l.Live(10, "a")
	require.False(t, live)
	h.SetIncarnation(l.Incarnation("one") + 1)
	r, changed := h.Report(20)
	require.True(t, changed)
	h.Acknowledge(l.Merge(20, r))
	_, live = l.Live(20, "a")
	require.True(t, live)
	require.False(t, h.HasChanges(20))
}

// TestAnswersKeepSilentTargetAlive checks that a target that can't reach any
// home counts as alive while entry nodes receive its answers, and so does each
// member of a group whose rank 0 answers.
func TestAnswersKeepSilentTargetAlive(t *testing.T) {
	for name, observation := range map[string]Observation{
		"plain":  {VM: "a", Incarnation: 1, InFlight: 1, ProgressAge: 100},
		"member": {Group: "g", Epoch: 3, InFlight: 1, ProgressAge: 100},
	} {
		l := plainLeader()
		if name == "member" {
			l.targets["a"].latest.Kind = sardine.KindEngine
			l.servingGroups = map[sardine.VMID]observedKey{"a": {group: "g", epoch: 3}}
		}
		l.Merge(4000, Report{Home: "one", Incarnation: 1, Sequence: 2, Lost: []Ref{{VM: "a", Incarnation: 1}}})
		_, live := l.Live(4000, "a")
		require.False(t, live, name)
		l.Observe(4100, "e1", []Observation{observation})
		_, live = l.Live(4200, "a")
		require.True(t, live, name)
		observation.ProgressAge, observation.Stalled = -1, true
		l.Observe(4300, "e1", []Observation{observation})
		_, live = l.Live(4300, "a")
		require.False(t, live, name+": it has stalled")
	}
}

// TestOtherHomesReportInFullAfterLateHome covers a home that was paused: it
// reads an old announcement from its socket and reports it as new. Once that
// home loses the target, the status from another home must count again.
func TestOtherHomesReportInFullAfterLateHome(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	held, stale := announcement("a", 1), announcement("a", 1)
	held.CurrentOrder = sardine.CurrentOrder{Group: "g", Epoch: 2, State: sardine.MemberReady}
	one := NewHome("one", 1)
	require.NoError(t, one.Announce(1000, held))
	r, _ := one.Report(1000)
	one.Acknowledge(l.Merge(1000, r))
	l.Merge(2000, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: stale}}})
	s, live := l.Live(2000, "a")
	require.True(t, live)
	require.Empty(t, s.CurrentOrder.Group, "the late report counts as the newest")
	l.Merge(3000, Report{Home: "two", Incarnation: 1, Sequence: 2, Lost: []Ref{{VM: "a", Incarnation: 1}}})
	require.NoError(t, one.Announce(3000, held))
	one.Acknowledge(l.RecordContact(3100, "one", 1))
	r, changed := one.Report(3100)
	require.True(t, changed)
	one.Acknowledge(l.Merge(3100, r))
	s, live = l.Live(3200, "a")
	require.True(t, live)
	require.Equal(t, held.CurrentOrder, s.CurrentOrder)
}
