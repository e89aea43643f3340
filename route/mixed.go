package route

import (
	"math"
)

// place is one target of a prefix's rendezvous order.
type place struct {
	target *target
	score  uint64
}

// mixed weighs the expected time to first token of a few candidates: the first
// places of the prefix's rendezvous order, the hinted holders of the prefix and
// some random ones. Weighing all candidates would send every entry node that
// holds the same late load report to the same target at once.
func (r *Router) mixed(s *service, q Request) Choice {
	best := Choice{Expected: math.MaxInt64}
	bestTime := math.Inf(1)
	weigh := func(t *target, rank int) {
		c := r.choice(s, q, t, rank)
		if expected := t.expected(s, c.uncached); expected < bestTime {
			best, bestTime = c, expected
		}
	}
	for rank, t := range r.places(q) {
		if t != nil {
			weigh(t, rank)
		}
	}
	if holder := r.holder(q); holder != nil {
		weigh(holder, -1)
	}
	for range r.options.samples {
		weigh(r.sample(), -1)
	}
	if best.target == nil {
		return r.choice(s, q, r.sample(), -1)
	}
	return best
}

// places returns the first targets of the prefix's rendezvous order.
func (r *Router) places(q Request) []*target {
	anchor, ok := r.anchor(q)
	if !ok || r.options.ranks == 0 {
		return nil
	}
	top := make([]place, 0, r.options.ranks+1)
	for _, t := range r.usable {
		top = insertPlace(top, place{target: t, score: mix(t.hash ^ anchor)}, r.options.ranks)
	}
	found := make([]*target, len(top))
	for i, p := range top {
		found[i] = p.target
	}
	return found
}

func insertPlace(top []place, p place, limit int) []place {
	if len(top) == limit && p.score <= top[limit-1].score {
		return top
	}
	top = append(top, p)
	for i := len(top) - 1; i > 0 && top[i].score > top[i-1].score; i-- {
		top[i], top[i-1] = top[i-1], top[i]
	}
	return top[:min(len(top), limit)]
}

// holder returns the target with the longest hinted prefix, nil if there is
// none; the one with the fewest requests among equals.
func (r *Router) holder(q Request) *target {
	var best *target
	bestBlocks := 0
	for _, t := range r.usable {
		blocks := t.hints.match(q.PrefixHashes)
		if blocks > bestBlocks || (blocks > 0 && blocks == bestBlocks && t.requests() < best.requests()) {
			best, bestBlocks = t, blocks
		}
	}
	return best
}

// cachedBlocks returns the expected cached blocks: the hinted ones, corrected by
// how often hints hold, or the share usually found at this rendezvous place.
func (s *service) cachedBlocks(q Request, hinted, rank int) float64 {
	expected := s.hintShare * float64(hinted)
	if rank >= 0 && rank < len(s.hitShare) {
		expected = max(expected, s.hitShare[rank]*float64(len(q.PrefixHashes)))
	}
	return expected
}
