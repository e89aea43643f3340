package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func groupSign(flights int, alive sardine.Millis, stalled bool) Sign {
	return Sign{Group: "g", Epoch: 1, Flights: flights, Alive: alive, Stalled: stalled}
}

func TestWitnessesSpeakWithOneVoice(t *testing.T) {
	w := NewWitnesses()
	w.Take(1000, "e1", []Sign{groupSign(2, 400, false)})
	w.Take(1000, "e2", []Sign{groupSign(3, -1, false)})
	require.Equal(t, []Sign{groupSign(5, 500, false)}, w.Signs(1100))
	require.Equal(t, []Crowd{{Group: "g", Epoch: 1, Flights: 5}}, w.Crowds())
	w.Take(2500, "e2", []Sign{groupSign(1, -1, true)})
	require.Equal(t, []Sign{groupSign(3, 1900, true)}, w.Signs(2500))
	require.Equal(t, []Sign{groupSign(1, 2400, false)}, w.Signs(3000), "e1 has fallen silent, the standstill is told")
	w.Take(3100, "e2", []Sign{groupSign(1, -1, true)})
	w.Take(3200, "e1", []Sign{groupSign(1, 0, false)})
	require.Equal(t, []Sign{groupSign(2, 0, false)}, w.Signs(3200), "a later sign of life outweighs the standstill")
	require.Empty(t, w.Signs(9000))
}

// plainLeader leads since 0 and has heard of the plain target a from home one.
func plainLeader() *Leader {
	l := NewLeader(WithOverdue(1500))
	l.Lead(0, 1)
	a := announcement("a", 1)
	a.Kind = sardine.KindPlain
	l.Take(2000, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: a}}})
	return l
}

// TestStandstillCountsAgainstLateTargetsOnly: a target that announces itself in
// time to any home is alive, whatever entry nodes see of it.
func TestStandstillCountsAgainstLateTargetsOnly(t *testing.T) {
	late := []Ref{{VM: "a", Incarnation: 1}}
	stands := []Sign{{VM: "a", Incarnation: 1, Flights: 1, Alive: -1, Stalled: true}}
	l := plainLeader()
	l.Overdue("one", late)
	_, live := l.Live(2100, "a")
	require.True(t, live, "late alone proves nothing")
	l.Witness(2100, "e1", stands)
	_, live = l.Live(2100, "a")
	require.False(t, live)
	l.Overdue("one", nil)
	_, live = l.Live(2100, "a")
	require.True(t, live)
	l.Overdue("one", late)
	moved := announcement("a", 1)
	moved.Kind = sardine.KindPlain
	l.Take(2200, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: moved}}})
	_, live = l.Live(2200, "a")
	require.True(t, live, "it has turned to another home")
}

// TestDelayedAnnouncementChangesNothing: one that reaches another home later than
// its successor reached the first is known by its serial.
func TestDelayedAnnouncementChangesNothing(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	newer, older := announcement("a", 1), announcement("a", 1)
	newer.Serial, newer.Leaving = 8, true
	older.Serial = 7
	l.Take(1000, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: newer}}})
	l.Take(1500, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: older}}})
	s, live := l.Live(1500, "a")
	require.True(t, live)
	require.True(t, s.Leaving)
}

// TestRenewedHomeTellsAll: a home whose clock was set back over a restart takes an
// incarnation after the one that the leader knows.
func TestRenewedHomeTellsAll(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	l.Heard(0, "one", 9)
	h := NewHome("one", 5)
	require.NoError(t, h.Announce(10, announcement("a", 1)))
	r, _ := h.Report(10)
	l.Take(10, r)
	_, live := l.Live(10, "a")
	require.False(t, live)
	h.Renew(l.Incarnation("one") + 1)
	r, news := h.Report(20)
	require.True(t, news)
	h.Acked(l.Take(20, r))
	_, live = l.Live(20, "a")
	require.True(t, live)
	require.False(t, h.HasNews(20))
}

// TestAnswersVouchForASilentTarget: a target that no home hears any more, as it is cut
// off from the control nodes, is alive while entry nodes get its answers; so is each
// member of a group whose head answers.
func TestAnswersVouchForASilentTarget(t *testing.T) {
	for name, sign := range map[string]Sign{
		"plain":  {VM: "a", Incarnation: 1, Flights: 1, Alive: 100},
		"member": {Group: "g", Epoch: 3, Flights: 1, Alive: 100},
	} {
		l := plainLeader()
		if name == "member" {
			l.targets["a"].latest.Kind = sardine.KindEngine
			l.memberOf = map[sardine.VMID]witnessKey{"a": {group: "g", epoch: 3}}
		}
		l.Take(4000, Report{Home: "one", Incarnation: 1, Sequence: 2, Lost: []Ref{{VM: "a", Incarnation: 1}}})
		_, live := l.Live(4000, "a")
		require.False(t, live, name)
		l.Witness(4100, "e1", []Sign{sign})
		_, live = l.Live(4200, "a")
		require.True(t, live, name)
		sign.Alive, sign.Stalled = -1, true
		l.Witness(4300, "e1", []Sign{sign})
		_, live = l.Live(4300, "a")
		require.False(t, live, name+": its answers have ceased")
	}
}

// TestTheOthersTellAgainOnceALateReaderIsGone: a home that stood still reads what was
// sent to it meanwhile and reports it as heard just now. Once it does not hear the
// target any more, what another home has known all the time counts.
func TestTheOthersTellAgainOnceALateReaderIsGone(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	held, stale := announcement("a", 1), announcement("a", 1)
	held.Holding = sardine.Holding{Group: "g", Epoch: 2, State: sardine.MemberReady}
	one := NewHome("one", 1)
	require.NoError(t, one.Announce(1000, held))
	r, _ := one.Report(1000)
	one.Acked(l.Take(1000, r))
	l.Take(2000, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: stale}}})
	s, live := l.Live(2000, "a")
	require.True(t, live)
	require.Empty(t, s.Holding.Group, "the late word counts as the newest")
	l.Take(3000, Report{Home: "two", Incarnation: 1, Sequence: 2, Lost: []Ref{{VM: "a", Incarnation: 1}}})
	require.NoError(t, one.Announce(3000, held))
	one.Acked(l.Heard(3100, "one", 1))
	r, news := one.Report(3100)
	require.True(t, news)
	one.Acked(l.Take(3100, r))
	s, live = l.Live(3200, "a")
	require.True(t, live)
	require.Equal(t, held.Holding, s.Holding)
}
