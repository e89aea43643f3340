package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/status"
)

// TestReportChecksRejectWrongReports runs each check on a correct report and on
// reports with one error.
func TestReportChecksRejectWrongReports(t *testing.T) {
	bad := func(state string) status.Condition {
		return status.Condition{State: state, SystemAction: "repairs", OperatorAction: "check"}
	}
	good := status.Condition{State: "serving", Healthy: true}
	well := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: good}, {VM: "vm-2", Condition: good}}}
	lost := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: bad("lost")}, {VM: "vm-2", Condition: good}}}
	require.NoError(t, checkHealthy(well))
	require.Error(t, checkHealthy(lost))
	require.Error(t, checkHealthy(status.Report{Checks: []status.Check{{Name: "quorum"}}}))

	require.NoError(t, checkLost(lost, "vm-1"))
	require.Error(t, checkLost(well, "vm-1"), "reported as healthy")
	require.Error(t, checkLost(lost, "vm-3"), "not listed")
	held := lost
	held.Groups = []status.Group{{ID: "g", Members: []status.Member{{VM: "vm-1"}}, Condition: good}}
	require.Error(t, checkLost(held, "vm-1"), "its group is reported as healthy")

	require.NoError(t, checkOnlyUnhealthy(lost, "target", "vm-1"))
	require.Error(t, checkOnlyUnhealthy(lost, "target", "vm-2"), "another target is lost")
	require.Error(t, checkOnlyUnhealthy(lost, "target"), "an unexpected lost target")
	require.Error(t, checkOnlyUnhealthy(well, "target", "vm-1"), "none")
	require.Error(t, checkOnlyUnhealthy(lost, "target", "vm-1", "vm-9"), "not listed")
	bare := status.Report{Targets: []status.Target{{VM: "vm-1", Condition: status.Condition{State: "lost"}}}}
	require.Error(t, checkOnlyUnhealthy(bare, "target", "vm-1"), "without advice")
}

func TestUnknownFailure(t *testing.T) {
	require.ErrorContains(t, RunWithFailure(FailOptions{Name: "moon"}, nil), "member, domain, control, entry, poison")
}
