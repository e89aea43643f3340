package route

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// nearBand is how many milliseconds of round trip over the nearest target still
// count as near.
const nearBand = 10

// liveSamples is how many times the random candidates a live request gets. They
// are too few to crowd a target.
const liveSamples = 4

// place is one target of a prefix's rendezvous order.
type place struct {
	target *target
	score  uint64
}

// weighing is the best of the candidates weighed so far.
type weighing struct {
	choice Choice
	time   float64 // expected, with regard for others
}

// mixed weighs the expected time to first token of a few candidates: places of
// the prefix's rendezvous order, the hinted holders of the prefix and some
// random ones. Weighing all candidates would send every entry node that holds
// the same late load report to the same target at once.
func (r *Router) mixed(now sardine.Millis, s *service, q Request) Choice {
	r.findNear()
	best := weighing{time: math.Inf(1)}
	for rank, p := range r.places(s, q) {
		r.weigh(now, s, q, &best, p.target, rank)
	}
	if best.choice.target != nil && r.options.strict {
		return best.choice
	}
	if r.options.hintLimit > 0 {
		for _, t := range r.hints.holders(q.PrefixHashes) {
			if t != nil && r.mayUse(now, t, q) {
				r.weigh(now, s, q, &best, t, noRank)
			}
		}
	}
	for _, t := range r.near {
		if r.owns(t) {
			r.weigh(now, s, q, &best, t, noRank)
		}
	}
	samples := r.options.samples
	if q.Priority == sardine.PriorityLive {
		samples *= liveSamples
	}
	for range samples {
		r.weigh(now, s, q, &best, r.near[r.random.IntN(len(r.near))], noRank)
	}
	r.weigh(now, s, q, &best, r.sample(), noRank)
	if best.choice.target == nil {
		return r.choice(now, s, q, r.sample(), noRank)
	}
	return best.choice
}

// findNear collects the usable targets that are about as near as the nearest.
// Each region then has places of its own for a prefix; a place in another
// region would cost its round trip or stay unused.
func (r *Router) findNear() {
	nearest := math.Inf(1)
	for _, t := range r.usable {
		nearest = min(nearest, t.roundTrip)
	}
	r.near = r.near[:0]
	for _, t := range r.usable {
		if t.roundTrip <= nearest+nearBand {
			r.near = append(r.near, t)
		}
	}
}

// weigh keeps the better of best and t. A request's own prefill also delays
// those that come after it and displaces what they would find cached, so it
// counts more than a wait of the same length.
func (r *Router) weigh(now sardine.Millis, s *service, q Request, best *weighing, t *target, rank int) {
	c := r.choice(now, s, q, t, rank)
	if time := t.expected(now, s, c.uncached) + r.options.regard*s.work(c.uncached); time < best.time {
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
	for _, t := range r.near {
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
// how often hints hold, or the share usually found at a target of this rank.
func (s *service) cachedBlocks(q Request, hinted, rank int) float64 {
	usual := *s.usual(q, rank)
	return max(s.hintShare*float64(hinted), usual*float64(len(q.PrefixHashes)))
}

// usual returns the cached share of a prefix that is usually found at a target
// of this rank. Later requests of a conversation have shares of their own.
func (s *service) usual(q Request, rank int) *float64 {
	shares := s.firstShares
	if q.Later {
		shares = s.laterShares
	}
	if rank < 0 || rank >= len(shares) {
		return &shares[len(shares)-1]
	}
	return &shares[rank]
}
