package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/status"
)

// TestJudgesCatchWrongReports gives each judge a right report and reports that
// are wrong in one way.
func TestJudgesCatchWrongReports(t *testing.T) {
	bad := func(state string) status.Condition {
		return status.Condition{State: state, System: "repairs", Person: "check"}
	}
	good := status.Condition{State: "serving", Good: true}
	well := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: good}, {VM: "vm-2", Condition: good}}}
	lost := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: bad("lost")}, {VM: "vm-2", Condition: good}}}
	require.NoError(t, wellReport(well))
	require.Error(t, wellReport(lost))
	require.Error(t, wellReport(status.Report{Checks: []status.Check{{Name: "quorum"}}}))

	require.NoError(t, tellsLost(lost, "vm-1"))
	require.Error(t, tellsLost(well, "vm-1"), "said to be well")
	require.Error(t, tellsLost(lost, "vm-3"), "not listed")
	held := lost
	held.Groups = []status.Group{{ID: "g", Members: []status.Member{{VM: "vm-1"}}, Condition: good}}
	require.Error(t, tellsLost(held, "vm-1"), "its group is said to be well")

	require.NoError(t, tellsOnly(lost, "target", "vm-1"))
	require.Error(t, tellsOnly(lost, "target", "vm-2"), "the wrong one")
	require.Error(t, tellsOnly(lost, "target"), "one too many")
	require.Error(t, tellsOnly(well, "target", "vm-1"), "none")
	require.Error(t, tellsOnly(lost, "target", "vm-1", "vm-9"), "not listed")
	bare := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: status.Condition{State: "lost"}}}}
	require.Error(t, tellsOnly(bare, "target", "vm-1"), "without advice")
}

func TestUnknownFailure(t *testing.T) {
	require.ErrorContains(t, Fail(FailOptions{Name: "moon"}, nil), "member, domain, control, entry, poison")
}
