package gauge

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// evictedHashes returns the prefix hashes of an evicted cache item: all blocks of
// a shared prefix, or the first own block of a conversation.
func (r *routingRun) evictedHashes(key int) []uint64 {
	if key <= 0 {
		return []uint64{blockHash(key, 0)}
	}
	return hashes(prompt{family: key, familyBlocks: r.lengths[key-1]}, r.lengths[key-1])
}

// hashes returns the prefix hashes of the prompt's first n blocks.
func hashes(p prompt, n int) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = blockHash(p.family, i)
		if i >= p.familyBlocks {
			all[i] = blockHash(-p.conversation, i-p.familyBlocks)
		}
	}
	return all
}

func blockHash(key, block int) uint64 {
	x := uint64(int64(key))*0x9e3779b97f4a7c15 + uint64(block)
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// copiesOver2 sends copies of new requests through up to nine entry nodes of the
// first region at once. It returns the share of these requests that would run on
// more than two engines.
func (r *routingRun) copiesOver2() float64 {
	if r.variant.oracle || r.variant.homes || r.variant.sharedRouter {
		return 0
	}
	const trials = 300
	over := 0
	for range trials {
		r.conversations++
		family := r.family()
		p := prompt{family: family + 1, familyBlocks: r.lengths[family], conversation: r.conversations, blocks: r.lengths[family] + 2}
		q := route.Request{Service: "model", PrefixHashes: hashes(p, p.blocks), PromptTokens: p.tokens(), Conversation: uint64(p.conversation)}
		targets := make(map[route.Ref]bool)
		for node := 0; len(targets) < 3 && node < min(r.flags.nodes, 15); node++ {
			if regionOf(node%r.centres()) != 0 {
				continue
			}
			if c, err := r.routers[node].Pick(sardine.Millis(r.now), q); err == nil {
				targets[c.Candidate.Ref] = true
			}
		}
		if len(targets) > 2 {
			over++
		}
	}
	return round(float64(over) / trials)
}

// family draws a shared prefix according to its popularity.
func (r *routingRun) family() int {
	x := r.arrivals.Float64() * r.shares[len(r.shares)-1]
	at, _ := slices.BinarySearch(r.shares, x)
	return min(at, len(r.shares)-1)
}
