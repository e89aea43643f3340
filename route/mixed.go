package route

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// place is one target of a prefix's rendezvous order.
type place struct {
	target *target
	score  uint64
}

// weighing is the best of the candidates weighed so far.
type weighing struct {
	choice Choice
	time   float64
}

// mixed weighs the expected time to first token of a few candidates: places of
// the prefix's rendezvous order, the hinted holders of the prefix and some
// random ones. Weighing all candidates would send every entry node that holds
// the same late load report to the same target at once.
func (r *Router) mixed(now sardine.Millis, s *service, q Request) Choice {
	best := weighing{time: math.Inf(1)}
	for _, p := range r.places(s, q) {
		r.weigh(now, s, q, &best, p.target, true)
	}
	if r.options.hintLimit > 0 {
		for _, t := range r.hints.holders(q.PrefixHashes) {
			if t != nil && r.mayUse(now, t, q) {
				r.weigh(now, s, q, &best, t, false)
			}
		}
	}
	for range r.options.samples {
		r.weigh(now, s, q, &best, r.sample(), false)
	}
	if best.choice.target == nil {
		return r.choice(now, s, q, r.sample(), false)
	}
	return best.choice
}

func (r *Router) weigh(now sardine.Millis, s *service, q Request, best *weighing, t *target, placed bool) {
	c := r.choice(now, s, q, t, placed)
	if time := t.expected(now, s, c.uncached); time < best.time {
		*best = weighing{choice: c, time: time}
	}
}

// mayUse reports whether a target found through a hint is among the usable.
func (r *Router) mayUse(now sardine.Millis, t *target, q Request) bool {
	return t.candidate.Service == q.Service && t.takes(now, q) && !t.outlier.ejected(now) && r.hasRoom(t)
}

// places returns the targets that the prefix's rendezvous order gives to the
// request. The order's first targets, more of them the more requests share the
// prefix, hold the prefix; the conversation picks among those, so that its later
// requests meet its earlier ones on every entry node.
func (r *Router) places(s *service, q Request) []place {
	anchor, ok := r.anchor(q)
	if !ok || r.options.places == 0 {
		return nil
	}
	s.popular.count(anchor)
	all := r.scratch[:0]
	for _, t := range r.usable {
		all = append(all, place{target: t, score: mix(t.hash ^ anchor)})
	}
	r.scratch = all
	set := highest(all, s.popular.places(anchor, len(all), r.options.spread, r.options.least))
	pick := q.Conversation
	if pick == 0 {
		pick = r.random.Uint64()
	}
	for i := range set {
		set[i].score = mix(set[i].target.hash ^ mix(pick))
	}
	return highest(set, r.options.places)
}

// highest moves the n places with the highest scores to the front and returns
// them, highest first.
func highest(all []place, n int) []place {
	n = min(n, len(all))
	if n <= 8 {
		for i := range n {
			best := i
			for j := i + 1; j < len(all); j++ {
				if all[j].score > all[best].score {
					best = j
				}
			}
			all[i], all[best] = all[best], all[i]
		}
		return all[:n]
	}
	slices.SortFunc(all, func(a, b place) int { return cmp.Compare(b.score, a.score) })
	return all[:n]
}

// cachedBlocks returns the expected cached blocks: the hinted ones, corrected by
// how often hints hold, or the share usually found at such a target.
func (s *service) cachedBlocks(q Request, hinted int, placed bool) float64 {
	usual := s.otherShare
	if placed {
		usual = max(usual, s.placeShare)
	}
	return max(s.hintShare*float64(hinted), usual*float64(len(q.PrefixHashes)))
}
