package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func names(prefix string, count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return all
}

// TestCallersKeepTheirNode checks that a node that leaves moves its own callers alone,
// and that the load is even.
func TestCallersKeepTheirNode(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes := names(fmt.Sprintf("node-%d", seed), 3+random.IntN(7))
		callers := names("target", 2000)
		gone := nodes[random.IntN(len(nodes))]
		left := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == gone })
		load := make(map[string]int)
		for _, c := range callers {
			before := Pick(c, nodes)
			require.Equal(t, before, Rank(c, nodes)[0])
			load[before]++
			if before != gone {
				require.Equal(t, before, Pick(c, left))
			} else {
				require.Equal(t, Rank(c, nodes)[1], Pick(c, left))
			}
		}
		for n, count := range load {
			require.Less(t, count, len(callers)*3/2/len(nodes), "seed %d: %s", seed, n)
		}
	}
}

func TestNoNodes(t *testing.T) {
	require.Empty(t, Pick("a", nil))
	require.Empty(t, Rank("a", nil))
}
