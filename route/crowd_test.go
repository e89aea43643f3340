package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// crowd lets so many entry nodes with the same reports place one request each,
// and returns how many came to each of the groups. The first group is idle.
func crowd(t *testing.T, nodes, groups int) []int {
	came := make([]int, groups)
	index := make(map[Ref]int)
	all := engines(groups)
	for i, c := range all {
		index[c.Ref] = i
	}
	for n := range nodes {
		r := New(rand.New(rand.NewPCG(1, uint64(n))), WithPolicy(Batch), WithHints(0))
		r.SetPosition(n, nodes)
		r.Update(0, all)
		for i, c := range all[1:] {
			r.Load(0, c.Ref, sardine.Load{Running: 8 + i%5})
		}
		c, err := r.Pick(1, Request{Service: "surtitle", PromptTokens: 100})
		require.NoError(t, err)
		r.Started(&c, 1)
		came[index[c.Candidate.Ref]]++
	}
	return came
}

// TestManyNodesDoNotCrowdOneTarget is the pattern of 69 entry nodes between two
// reports of what all have in flight: the group that is idle by the reports must
// not get a request of each.
func TestManyNodesDoNotCrowdOneTarget(t *testing.T) {
	came := crowd(t, 69, 30)
	most, sum := 0, 0
	for _, n := range came {
		most = max(most, n)
		sum += n
	}
	require.Equal(t, 69, sum)
	require.LessOrEqual(t, most, 2*crowdMost)
	require.Greater(t, came[0], 69/30, "it still gets more than its share")
}

// TestFewNodesTakeTheLeastLoaded is the pattern of today's sites.
func TestFewNodesTakeTheLeastLoaded(t *testing.T) {
	require.Equal(t, 9, crowd(t, 9, 8)[0])
}
