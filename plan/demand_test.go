package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func demanded(size, groups int, share float64) *kindView {
	return &kindView{deployment: sardine.Deployment{GroupSize: size, Demand: share}, groups: make([]*groupView, groups)}
}

// TestLargeGroupsNeedMoreVMs: as many VMs in groups of 16 do less than in groups of
// 4, since a group of 16 waits four times as often for one of its members.
func TestLargeGroupsNeedMoreVMs(t *testing.T) {
	require.Less(t, demanded(16, 6, 0.5).coverage(), demanded(4, 24, 0.5).coverage())
	require.Less(t, demanded(4, 24, 0.5).coverage(), demanded(16, 8, 0.5).coverage())
	require.InDelta(t, demanded(4, 3, 0.5).coverage(), demanded(3, 4, 0.5).coverage(), 1, "sizes that hardly differ")
	require.Positive(t, demanded(1000, 1, 1).coverage())
}
