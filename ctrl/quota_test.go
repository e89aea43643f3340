package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/state"
)

// TestLimitReachesNodesOfOtherControlNodes has one entry node report a limit to one
// control node, whose first report to the leader is lost, and another entry node ask
// another control node.
func TestLimitReachesNodesOfOtherControlNodes(t *testing.T) {
	l := newLeadership("c1", DefaultTiming(), plan.New())
	l.begin(0, 1, state.NewMachine(), cutPolicyOf)
	l.ledger.RecordJoin(state.JoinEntry{Node: "e1", Incarnation: 1})
	l.ledger.RecordJoin(state.JoinEntry{Node: "e2", Incarnation: 1})
	collectors := map[sardine.NodeID]*targetCollector{"c1": newTargetCollector(0, "c1", "c1:1", 1, DefaultTiming()), "c2": newTargetCollector(0, "c2", "c2:1", 1, DefaultTiming())}
	report := func(now sardine.Millis, id sardine.NodeID, lost bool) {
		x := leaderReportFromWire(leaderReportToWire(collectors[id].nextReport(now)))
		if lost {
			return
		}
		a, _, err := l.handleReport(now, x)
		require.NoError(t, err)
		collectors[id].handleReply(now+10, leaderReplyFromWire(leaderReplyToWire(a, nil)))
	}
	g := quota.Target{VM: "t", Incarnation: 4}
	known := quota.Report{Limits: []quota.KnownLimit{{Target: g, Limit: 6, Stated: true, Age: 100}}}
	require.Empty(t, l.allocateQuotas(900, map[sardine.NodeID]quota.Report{"e1": known}), "other nodes have had no time to report")
	require.Empty(t, collectors["c1"].exchangeQuota(2000, "e1", known))
	require.Empty(t, collectors["c2"].exchangeQuota(2100, "e2", quota.Report{}))
	report(2250, "c1", true)
	report(2500, "c1", false)
	report(2600, "c2", false)
	shares := collectors["c2"].exchangeQuota(2700, "e2", quota.Report{})
	require.Equal(t, []quota.Share{{Target: g, Limit: 6, Stated: true, Age: 800, Rate: 3}}, shares)
	report(2750, "c1", false)
	shares = collectors["c1"].exchangeQuota(2760, "e1", known)
	require.InDelta(t, 3, shares[0].Rate, 1e-9)
}
