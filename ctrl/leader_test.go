package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestPlanningLeavesTimeForOthers guards against a leader that plans all the time, because
// each report and each entry wakes it, and answers polls late.
func TestPlanningLeavesTimeForOthers(t *testing.T) {
	for planned, pause := range map[sardine.Millis]sardine.Millis{
		0: minPlanningPause, 1: minPlanningPause, 8: 24, 30: 90, 500: maxPlanningPause,
	} {
		require.Equal(t, pause, planningPause(planned), "%d", planned)
	}
}
