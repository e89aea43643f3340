// Package shard assigns callers to the nodes that share their load, by rendezvous
// hashing: most callers keep their node when another one joins or leaves.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes in the order in which a caller should try them. The order of
// nodes does not matter.
func Rank(caller string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(caller, b), weight(caller, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Pick returns the node that a caller should use, empty without nodes.
func Pick(caller string, nodes []string) string {
	best := ""
	for _, n := range nodes {
		if best == "" || weight(caller, n) > weight(caller, best) {
			best = n
		}
	}
	return best
}

func weight(caller, node string) uint64 {
	return xxhash.Sum64String(caller + "\x00" + node)
}
