package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func demandView(size, groups int, share float64) *deploymentView {
	return &deploymentView{
		spec:           sardine.Deployment{GroupSize: size, Demand: share},
		groups:         make([]*groupView, groups),
		unavailability: assumedUnavailability,
	}
}

// TestLargeGroupsNeedMoreVMs checks that VMs in groups of 16 count for less than
// as many VMs in groups of 4, since a group of 16 waits four times as often for
// one of its members.
func TestLargeGroupsNeedMoreVMs(t *testing.T) {
	require.Less(t, demandView(16, 6, 0.5).coverage(), demandView(4, 24, 0.5).coverage())
	require.Less(t, demandView(4, 24, 0.5).coverage(), demandView(16, 8, 0.5).coverage())
	require.InDelta(t, demandView(4, 3, 0.5).coverage(), demandView(3, 4, 0.5).coverage(), 1, "sizes that hardly differ")
	require.Positive(t, demandView(1000, 1, 1).coverage())
}

// TestUnavailabilityFollowsObservations simulates sites whose members are lost
// more often, or repaired faster, than assumed. The estimate must approach the
// observed share from either side and keep following it.
func TestUnavailabilityFollowsObservations(t *testing.T) {
	const size, round = 5, 100 * sardine.Millis(1)
	dv := demandView(size, 0, 1)
	served := &groupView{deployment: dv, record: &groupRecord{served: true}}
	served.Members = make([]sardine.Member, size)
	forming := &groupView{deployment: dv, record: &groupRecord{}}
	forming.Members = served.Members
	estimator := newUnavailabilityEstimator()
	now := sardine.Second
	run := func(down int) float64 { // down of each 1,000 rounds pass without service
		for i := range 60_000 {
			served.State = sardine.GroupServing
			if i%1000 < down {
				served.State = sardine.GroupDegraded
			}
			now += round
			estimator.observe(now, []*groupView{served, forming})
		}
		return estimator.share()
	}
	require.InDelta(t, assumedUnavailability, estimator.share(), 1e-9, "nothing was observed")
	require.InDelta(t, 0.3/size, run(300), 0.01)
	require.InDelta(t, 0.005/size, run(5), 0.001)
}
