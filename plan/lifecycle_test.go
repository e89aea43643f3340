package plan

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

const lifecyclePage = "../docs/LIFECYCLE.md"

// TestLifecyclePage compares docs/LIFECYCLE.md with the table. SARDINE_WRITE=1
// rewrites the file.
func TestLifecyclePage(t *testing.T) {
	if os.Getenv("SARDINE_WRITE") == "1" {
		require.NoError(t, os.WriteFile(lifecyclePage, []byte(LifecycleText()), 0o644))
	}
	page, err := os.ReadFile(lifecyclePage)
	require.NoError(t, err)
	require.Equal(t, LifecycleText(), string(page))
}

// TestLifecycleMatchesMoves compares the table with the state machine: the
// table contains exactly those transitions of members that the allowed
// transitions of their group cause.
func TestLifecycleMatchesMoves(t *testing.T) {
	listed := make(map[[2]Stage]bool)
	for _, row := range Lifecycle() {
		listed[[2]Stage{row.From, row.To}] = true
	}
	states := []sardine.GroupState{sardine.GroupAssigned, sardine.GroupLoading, sardine.GroupServing, sardine.GroupDegraded}
	for _, from := range states {
		allowed := make(map[Stage]bool)
		for _, to := range state.Transitions(from) {
			allowed[stageOfGroup(to)] = true
		}
		for to := StageLoading; to <= StageFenced; to++ {
			require.Equal(t, allowed[to], listed[[2]Stage{stageOfGroup(from), to}], "%s to %s", from, to)
		}
	}
}
