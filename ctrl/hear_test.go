package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
)

func testHearing() *hearing {
	t := DefaultTiming()
	t.Overdue = 1500
	return newHearing("c1", 5, t)
}

// TestOutOfTouchNobodyIsHeard: what a control node acknowledges must reach the
// leader, so that one that is cut off sends targets and entry nodes elsewhere.
func TestOutOfTouchNobodyIsHeard(t *testing.T) {
	h := testHearing()
	a := sardine.Announcement{VM: "vm", Incarnation: 1, Address: "vm:80"}
	require.Equal(t, codes.NoQuorum, codes.Of(h.announce(1000, a)), "before the first report")
	h.told(1000, answered{crowds: []fleet.Crowd{{VM: "vm", Flights: 3}}})
	require.NoError(t, h.announce(1000+outOfTouch, a))
	crowds, err := h.witness(1000+outOfTouch, "e1", nil)
	require.NoError(t, err)
	require.Len(t, crowds, 1)
	require.Equal(t, codes.NoQuorum, codes.Of(h.announce(1001+outOfTouch, a)))
	_, err = h.witness(1001+outOfTouch, "e1", nil)
	require.Equal(t, codes.NoQuorum, codes.Of(err))
	lost, changed := h.noteTouch(1001 + outOfTouch)
	require.True(t, lost && changed)
	_, changed = h.noteTouch(1002 + outOfTouch)
	require.False(t, changed, "logged once")
}

// TestNewLeaderHearsAllInTwoReports: a leader that is new asks for all targets,
// and has them with the next report.
func TestNewLeaderHearsAllInTwoReports(t *testing.T) {
	h := testHearing()
	h.told(1000, answered{})
	for _, vm := range []sardine.VMID{"a", "b"} {
		require.NoError(t, h.announce(1000, sardine.Announcement{VM: vm, Incarnation: 1, Address: "x:80"}))
	}
	for term := uint64(1); term < 4; term++ {
		l := fleet.NewLeader()
		l.Lead(1000, term)
		for range 2 {
			x := h.next(1100)
			a := answered{known: x.incarnation}
			if x.report != nil {
				a.ack = l.Take(1100, *x.report)
			} else {
				a.ack = l.Heard(1100, x.home, x.incarnation)
			}
			h.told(1100, a)
		}
		for _, vm := range []sardine.VMID{"a", "b"} {
			_, live := l.Live(1100, vm)
			require.True(t, live, "term %d: %s", term, vm)
		}
	}
}

// TestClockSetBackOverARestart: the leader knows a later incarnation of the node.
func TestClockSetBackOverARestart(t *testing.T) {
	h := testHearing()
	h.told(1000, answered{known: 5})
	require.NoError(t, h.announce(1000, sardine.Announcement{VM: "a", Incarnation: 1, Address: "x:80"}))
	h.next(1000)
	h.told(1000, answered{known: 900})
	x := h.next(1100)
	require.EqualValues(t, 901, x.incarnation)
	require.NotNil(t, x.report)
	require.True(t, x.report.Full)
}

func TestHeardSurvivesTheCodec(t *testing.T) {
	h := testHearing()
	h.told(1000, answered{})
	require.NoError(t, h.announce(1000, sardine.Announcement{VM: "a", Incarnation: 1, Kind: sardine.KindPlain, Address: "x:80", Serial: 4}))
	_, err := h.witness(1000, "e1", []fleet.Sign{{VM: "a", Incarnation: 1, Flights: 2, Alive: 30}})
	require.NoError(t, err)
	x := h.next(1000 + h.overdue)
	require.NotNil(t, x.report)
	require.Len(t, x.overdue, 1)
	require.Len(t, x.signs, 1)
	require.Equal(t, x, heardFromWire(heardToWire(x)))
	a := answered{ack: fleet.Ack{Sequence: 3, WantFull: true}, known: 6, crowds: []fleet.Crowd{{VM: "a", Incarnation: 1, Flights: 2}}}
	require.Equal(t, a, answeredFromWire(answeredToWire(a, nil)))
}
