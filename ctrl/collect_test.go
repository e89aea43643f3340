package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
)

func testCollector() *collector {
	t := DefaultTiming()
	t.Overdue = 1500
	return newCollector("c1", 5, t)
}

// TestOutOfTouchNobodyIsHeard: what a control node acknowledges must reach the
// leader, so that one that is cut off sends targets and entry nodes elsewhere.
func TestOutOfTouchNobodyIsHeard(t *testing.T) {
	c := testCollector()
	a := sardine.Announcement{VM: "vm", Incarnation: 1, Address: "vm:80"}
	require.Equal(t, codes.NoQuorum, codes.Of(c.announce(1000, a)), "before the first report")
	c.told(1000, collectAnswer{crowds: []fleet.Crowd{{VM: "vm", Flights: 3}}})
	require.NoError(t, c.announce(1000+outOfTouch, a))
	crowds, err := c.witness(1000+outOfTouch, "e1", nil)
	require.NoError(t, err)
	require.Len(t, crowds, 1)
	require.Equal(t, codes.NoQuorum, codes.Of(c.announce(1001+outOfTouch, a)))
	_, err = c.witness(1001+outOfTouch, "e1", nil)
	require.Equal(t, codes.NoQuorum, codes.Of(err))
	lost, changed := c.noteTouch(1001 + outOfTouch)
	require.True(t, lost && changed)
	_, changed = c.noteTouch(1002 + outOfTouch)
	require.False(t, changed, "logged once")
}

// TestNewLeaderHearsAllInTwoReports: a leader that is new asks for all targets,
// and has them with the next report.
func TestNewLeaderHearsAllInTwoReports(t *testing.T) {
	c := testCollector()
	c.told(1000, collectAnswer{})
	for _, vm := range []sardine.VMID{"a", "b"} {
		require.NoError(t, c.announce(1000, sardine.Announcement{VM: vm, Incarnation: 1, Address: "x:80"}))
	}
	for term := uint64(1); term < 4; term++ {
		l := fleet.NewLeader()
		l.Lead(1000, term)
		for range 2 {
			x := c.next(1100)
			a := collectAnswer{known: x.incarnation}
			if x.report != nil {
				a.ack = l.Take(1100, *x.report)
			} else {
				a.ack = l.Heard(1100, x.home, x.incarnation)
			}
			c.told(1100, a)
		}
		for _, vm := range []sardine.VMID{"a", "b"} {
			_, live := l.Live(1100, vm)
			require.True(t, live, "term %d: %s", term, vm)
		}
	}
}

// TestClockSetBackOverARestart: the leader knows a later incarnation of the node.
func TestClockSetBackOverARestart(t *testing.T) {
	c := testCollector()
	c.told(1000, collectAnswer{known: 5})
	require.NoError(t, c.announce(1000, sardine.Announcement{VM: "a", Incarnation: 1, Address: "x:80"}))
	c.next(1000)
	c.told(1000, collectAnswer{known: 900})
	x := c.next(1100)
	require.EqualValues(t, 901, x.incarnation)
	require.NotNil(t, x.report)
	require.True(t, x.report.Full)
}

func TestHeardSurvivesTheCodec(t *testing.T) {
	c := testCollector()
	c.told(1000, collectAnswer{})
	require.NoError(t, c.announce(1000, sardine.Announcement{VM: "a", Incarnation: 1, Kind: sardine.KindPlain, Address: "x:80", Serial: 4}))
	_, err := c.witness(1000, "e1", []fleet.Sign{{VM: "a", Incarnation: 1, Flights: 2, Alive: 30}})
	require.NoError(t, err)
	x := c.next(1000 + c.overdue)
	require.NotNil(t, x.report)
	require.Len(t, x.overdue, 1)
	require.Len(t, x.signs, 1)
	require.Equal(t, x, collectedFromWire(collectedToWire(x)))
	a := collectAnswer{ack: fleet.Ack{Sequence: 3, WantFull: true}, known: 6, crowds: []fleet.Crowd{{VM: "a", Incarnation: 1, Flights: 2}}}
	require.Equal(t, a, collectAnswerFromWire(collectAnswerToWire(a, nil)))
}
