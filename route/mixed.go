package route

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// nearMargin is how many milliseconds of round trip above the nearest target
// still count as near.
const nearMargin = 10

// liveSampleFactor multiplies the number of random candidates for a live
// request. Live requests are too few to overload a target.
const liveSampleFactor = 4

// scoredTarget is a target with its score in a rendezvous order.
type scoredTarget struct {
	target *target
	score  uint64
}

// bestChoice is the best of the candidates considered so far.
type bestChoice struct {
	choice Choice
	time   float64 // expected time plus the prefill penalty, in milliseconds
}

// chooseMixed compares the expected time to first token of a few candidates:
// the first targets of the prefix's rendezvous order, the hinted holders of
// the prefix, targets owned by this node and some random ones. Comparing all
// candidates would make every entry node with the same outdated load report
// choose the same target at once.
func (r *Router) chooseMixed(now sardine.Millis, s *service, q Request) Choice {
	r.findNear()
	best := bestChoice{time: math.Inf(1)}
	for rank, p := range r.rendezvousTargets(s, q) {
		r.consider(now, s, q, &best, p.target, rank)
	}
	if best.choice.target != nil && r.options.strict {
		return best.choice
	}
	if r.options.hintLimit > 0 {
		for _, t := range r.hints.holders(q.PrefixHashes) {
			if t != nil && r.mayUse(now, t, q) {
				r.consider(now, s, q, &best, t, noRank)
			}
		}
	}
	for _, t := range r.near {
		if r.owns(t) {
			r.consider(now, s, q, &best, t, noRank)
		}
	}
	samples := r.options.samples
	if q.Priority == sardine.PriorityLive {
		samples *= liveSampleFactor
	}
	for range samples {
		r.consider(now, s, q, &best, r.near[r.random.IntN(len(r.near))], noRank)
	}
	r.consider(now, s, q, &best, r.sample(), noRank)
	if best.choice.target == nil {
		return r.newChoice(now, s, q, r.sample(), noRank)
	}
	return best.choice
}

// findNear collects the usable targets that are about as near as the nearest
// one. Each region then has its own rendezvous targets for a prefix; one in
// another region would cost its round trip or stay unused.
func (r *Router) findNear() {
	nearest := math.Inf(1)
	for _, t := range r.usable {
		nearest = min(nearest, t.roundTrip)
	}
	r.near = r.near[:0]
	for _, t := range r.usable {
		if t.roundTrip <= nearest+nearMargin {
			r.near = append(r.near, t)
		}
	}
}

// consider replaces best by t if t is better. A request's own prefill also
// delays later requests and evicts blocks from their cached prefixes, so it
// counts more than a wait of the same length.
func (r *Router) consider(now sardine.Millis, s *service, q Request, best *bestChoice, t *target, rank int) {
	c := r.newChoice(now, s, q, t, rank)
	if time := t.expected(now, s, c.uncached) + r.options.prefillPenalty*s.work(c.uncached); time < best.time {
		*best = bestChoice{choice: c, time: time}
	}
}

// mayUse reports whether a target found through a hint is usable for the
// request.
func (r *Router) mayUse(now sardine.Millis, t *target, q Request) bool {
	return t.candidate.Service == q.Service && t.accepts(now, q) && !t.outlier.ejected(now) && r.hasCapacity(t)
}

// rendezvousTargets returns the targets that rendezvous hashing gives to the
// request. The first targets of the prefix's order cache the prefix, more of
// them the more requests share it. The conversation's hash selects among
// those, so that later requests of a conversation reach the same targets from
// every entry node.
func (r *Router) rendezvousTargets(s *service, q Request) []scoredTarget {
	affinityKey, ok := r.affinityKey(q)
	if !ok || r.options.rendezvous == 0 {
		return nil
	}
	s.popularity.count(affinityKey)
	all := r.scratch[:0]
	for _, t := range r.near {
		all = append(all, scoredTarget{target: t, score: mix(t.hash ^ affinityKey)})
	}
	r.scratch = all
	set := highest(all, s.popularity.targetCount(affinityKey, len(all), r.options.spread, r.options.minTargets))
	pick := q.Conversation
	if pick == 0 {
		pick = r.random.Uint64()
	}
	for i := range set {
		set[i].score = mix(set[i].target.hash ^ mix(pick))
	}
	return highest(set, r.options.rendezvous)
}

// highest moves the n entries with the highest scores to the front and
// returns them, highest first.
func highest(all []scoredTarget, n int) []scoredTarget {
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
	slices.SortFunc(all, func(a, b scoredTarget) int { return cmp.Compare(b.score, a.score) })
	return all[:n]
}

// cachedBlocks returns the expected number of cached blocks: the hinted ones,
// corrected by how often hints are right, or the share usually cached at a
// target of this rank, whichever is more.
func (s *service) cachedBlocks(q Request, hintedBlocks, rank int) float64 {
	expectedShare := *s.cachedShare(q, rank)
	return max(s.hintShare*float64(hintedBlocks), expectedShare*float64(len(q.PrefixHashes)))
}

// cachedShare returns the share of a prefix that is usually cached at a
// target of this rank. Follow-up requests of a conversation have separate
// shares.
func (s *service) cachedShare(q Request, rank int) *float64 {
	shares := s.firstShares
	if q.FollowUp {
		shares = s.laterShares
	}
	if rank < 0 || rank >= len(shares) {
		return &shares[len(shares)-1]
	}
	return &shares[rank]
}
