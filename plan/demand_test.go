package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func demanded(size, groups int, share float64) *kindView {
	return &kindView{
		deployment: sardine.Deployment{GroupSize: size, Demand: share},
		groups:     make([]*groupView, groups),
		absence:    assumedAbsence,
	}
}

// TestLargeGroupsNeedMoreVMs: as many VMs in groups of 16 do less than in groups of
// 4, since a group of 16 waits four times as often for one of its members.
func TestLargeGroupsNeedMoreVMs(t *testing.T) {
	require.Less(t, demanded(16, 6, 0.5).coverage(), demanded(4, 24, 0.5).coverage())
	require.Less(t, demanded(4, 24, 0.5).coverage(), demanded(16, 8, 0.5).coverage())
	require.InDelta(t, demanded(4, 3, 0.5).coverage(), demanded(3, 4, 0.5).coverage(), 1, "sizes that hardly differ")
	require.Positive(t, demanded(1000, 1, 1).coverage())
}

// TestAbsenceIsWhatWasSeen is the pattern of sites whose members are lost more often,
// or repaired faster, than is assumed: the share comes near to what was seen, from
// either side, and goes on to follow it.
func TestAbsenceIsWhatWasSeen(t *testing.T) {
	const size, round = 5, 100 * sardine.Millis(1)
	k := demanded(size, 0, 1)
	served := &groupView{kind: k, note: &groupNote{served: true}}
	served.Members = make([]sardine.Member, size)
	forming := &groupView{kind: k, note: &groupNote{}}
	forming.Members = served.Members
	seen := newAbsences()
	now := sardine.Second
	run := func(down int) float64 { // rounds of 1,000 for which the group does not serve
		for i := range 60_000 {
			served.State = sardine.GroupServing
			if i%1000 < down {
				served.State = sardine.GroupDegraded
			}
			now += round
			seen.look(now, []*groupView{served, forming})
		}
		return seen.share()
	}
	require.InDelta(t, assumedAbsence, seen.share(), 1e-9, "nothing was seen")
	require.InDelta(t, 0.3/size, run(300), 0.01)
	require.InDelta(t, 0.005/size, run(5), 0.001)
}
