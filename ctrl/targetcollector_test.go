package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/quota"
)

func testCollector() *targetCollector {
	t := DefaultTiming()
	t.AnnouncementOverdue = 1500
	return newTargetCollector(0, "c1", "c1:1", 5, t)
}

func announceTo(c *targetCollector, now sardine.Millis, a sardine.Announcement) error {
	_, err := c.announce(now, a, false)
	return err
}

// TestCollectorRejectsWithoutLeaderContact guards against acknowledged announcements
// that never reach the leader: a control node that is cut off from the leader must
// reject targets and entry nodes, so that they turn to other control nodes.
func TestCollectorRejectsWithoutLeaderContact(t *testing.T) {
	c := testCollector()
	a := sardine.Announcement{VM: "vm", Incarnation: 1, Address: "vm:80"}
	require.Equal(t, codes.NoQuorum, codes.Of(announceTo(c, 1000, a)), "before the first report")
	c.handleReply(1000, leaderReply{inFlight: []fleet.InFlightCount{{VM: "vm", Count: 3}}})
	require.NoError(t, announceTo(c, 1000+maxAckAge, a))
	crowds, err := c.observe(1000+maxAckAge, "e1", nil)
	require.NoError(t, err)
	require.Len(t, crowds, 1)
	require.Equal(t, codes.NoQuorum, codes.Of(announceTo(c, 1001+maxAckAge, a)))
	_, err = c.observe(1001+maxAckAge, "e1", nil)
	require.Equal(t, codes.NoQuorum, codes.Of(err))
	lost, changed := c.updateContact(1001 + maxAckAge)
	require.True(t, lost && changed)
	_, changed = c.updateContact(1002 + maxAckAge)
	require.False(t, changed, "logged once")
}

// TestNewLeaderHasAllTargetsAfterTwoReports checks that a new leader requests a full
// report and has all targets with the next one.
func TestNewLeaderHasAllTargetsAfterTwoReports(t *testing.T) {
	c := testCollector()
	c.handleReply(1000, leaderReply{})
	for _, vm := range []sardine.VMID{"a", "b"} {
		require.NoError(t, announceTo(c, 1000, sardine.Announcement{VM: vm, Incarnation: 1, Address: "x:80"}))
	}
	for term := uint64(1); term < 4; term++ {
		l := fleet.NewLeader()
		l.Lead(1000, term)
		for range 2 {
			x := c.nextReport(1100)
			a := leaderReply{incarnation: x.incarnation}
			if x.report != nil {
				a.ack = l.Merge(1100, *x.report)
			} else {
				a.ack = l.RecordContact(1100, x.home, x.incarnation)
			}
			c.handleReply(1100, a)
		}
		for _, vm := range []sardine.VMID{"a", "b"} {
			_, live := l.Live(1100, vm)
			require.True(t, live, "term %d: %s", term, vm)
		}
	}
}

// TestIncarnationAfterClockSetBack checks a control node that restarts after its clock
// was set back: the leader knows a later incarnation of it, so it must take a higher
// one and send a full report.
func TestIncarnationAfterClockSetBack(t *testing.T) {
	c := testCollector()
	c.handleReply(1000, leaderReply{incarnation: 5})
	require.NoError(t, announceTo(c, 1000, sardine.Announcement{VM: "a", Incarnation: 1, Address: "x:80"}))
	c.nextReport(1000)
	c.handleReply(1000, leaderReply{incarnation: 900})
	x := c.nextReport(1100)
	require.EqualValues(t, 901, x.incarnation)
	require.NotNil(t, x.report)
	require.True(t, x.report.Full)
}

func TestLeaderReportRoundTripsThroughCodec(t *testing.T) {
	c := testCollector()
	c.handleReply(1000, leaderReply{})
	require.NoError(t, announceTo(c, 1000, sardine.Announcement{VM: "a", Incarnation: 1, Kind: sardine.KindPlain, Address: "x:80", Sequence: 4}))
	_, err := c.observe(1000, "e1", []fleet.Observation{{VM: "a", Incarnation: 1, InFlight: 2, ProgressAge: 30}})
	require.NoError(t, err)
	limits := []quota.KnownLimit{{Target: quota.Target{VM: "a", Incarnation: 1}, Service: "s", Limit: 6.8, Stated: true, Age: 70}}
	c.exchangeQuota(1000+c.overdue, "e1", quota.Report{Limits: limits, Demands: []quota.Demand{{Service: "s", Rate: 3}}})
	x := c.nextReport(1020 + c.overdue)
	require.NotNil(t, x.report)
	require.Len(t, x.overdue, 1)
	require.Len(t, x.observations, 1)
	require.Equal(t, sardine.Millis(20), x.quotas["e1"].Age)
	require.Equal(t, limits, x.quotas["e1"].Limits)
	require.Equal(t, x, leaderReportFromWire(leaderReportToWire(x)))
	a := leaderReply{ack: fleet.Ack{Sequence: 3, WantFull: true}, incarnation: 6, inFlight: []fleet.InFlightCount{{VM: "a", Incarnation: 1, Count: 2}}, homes: []string{"c1:1", "c2:1"}}
	a.allocations = []quota.Allocation{{Target: limits[0].Target, Limit: 6.8, Stated: true, Age: 90, Rates: map[sardine.NodeID]float64{"e1": 0.5, "e2": 6.3}}}
	require.Equal(t, a, leaderReplyFromWire(leaderReplyToWire(a, nil)))
}

// TestLostContactIsLoggedBeforeTheFirstAcknowledgement guards against control nodes that
// refuse everything from their start on without a line in their log.
func TestLostContactIsLoggedBeforeTheFirstAcknowledgement(t *testing.T) {
	c := testCollector()
	lost, changed := c.updateContact(firstAckTimeout)
	require.False(t, lost || changed, "the site may be starting")
	lost, changed = c.updateContact(firstAckTimeout + 1)
	require.True(t, lost && changed)
	require.Equal(t, firstAckTimeout+1, c.ackAge(firstAckTimeout+1))
	c.handleReply(firstAckTimeout+2, leaderReply{})
	lost, changed = c.updateContact(firstAckTimeout + 2)
	require.True(t, !lost && changed)
	require.Zero(t, c.ackAge(firstAckTimeout+2))
}
