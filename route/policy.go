package route

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// loadFactor is the load relative to the mean above which the rendezvous
// policy skips a target.
const loadFactor = 1.25

// noRank is the rank of a target outside of the rendezvous order.
const noRank = -1

// choose applies the policy to r.usable, which is not empty.
func (r *Router) choose(now sardine.Millis, s *service, q Request) Choice {
	switch r.options.policy {
	case Random:
		return r.newChoice(now, s, q, r.sample(), noRank)
	case LeastInFlight:
		return r.newChoice(now, s, q, r.leastBy(func(t *target) float64 { return float64(t.inFlight) }), noRank)
	case TwoChoices:
		return r.newChoice(now, s, q, r.lessLoaded(r.sample(), r.sample()), noRank)
	case Rendezvous:
		return r.chooseRendezvous(now, s, q)
	case Hints:
		return r.chooseHinted(now, s, q)
	case Batch:
		return r.chooseBatch(now, s, q)
	default:
		return r.chooseMixed(now, s, q)
	}
}

func (r *Router) sample() *target {
	return r.usable[r.random.IntN(len(r.usable))]
}

func (r *Router) lessLoaded(a, b *target) *target {
	if b.requests() < a.requests() {
		return b
	}
	return a
}

// herdLimit bounds how many entry nodes may choose the same target by the
// same reports. It is a third of a usual batch, for which an engine has slots
// at any time.
const herdLimit = 10

// subsample keeps a random subset of the usable targets, small enough that no
// more than herdLimit nodes are expected to have the least loaded target in
// theirs.
func (r *Router) subsample() {
	count := len(r.usable)
	if r.nodes <= herdLimit || count < 2 {
		return
	}
	kept := max(count*herdLimit/r.nodes, 2)
	for i := range min(kept, count) {
		other := i + r.random.IntN(count-i)
		r.usable[i], r.usable[other] = r.usable[other], r.usable[i]
	}
	r.usable = r.usable[:min(kept, count)]
}

// leastBy returns the target with the lowest value, a random one among
// equals.
func (r *Router) leastBy(value func(*target) float64) *target {
	start := r.random.IntN(len(r.usable))
	best, bestValue := r.usable[start], math.Inf(1)
	for i := range r.usable {
		t := r.usable[(start+i)%len(r.usable)]
		if v := value(t); v < bestValue {
			best, bestValue = t, v
		}
	}
	return best
}

// chooseRendezvous picks the first target of the prefix's rendezvous order
// whose load is not far above the mean (consistent hashing with bounded
// loads).
func (r *Router) chooseRendezvous(now sardine.Millis, s *service, q Request) Choice {
	affinityKey, ok := r.affinityKey(q)
	if !ok {
		return r.newChoice(now, s, q, r.lessLoaded(r.sample(), r.sample()), noRank)
	}
	total := 0.0
	for _, t := range r.usable {
		total += t.requests()
	}
	bound := loadFactor*total/float64(len(r.usable)) + 1
	var best *target
	var bestScore uint64
	for _, t := range r.usable {
		score := mix(t.hash ^ affinityKey)
		if t.requests() <= bound && (best == nil || score > bestScore) {
			best, bestScore = t, score
		}
	}
	if best == nil {
		best = r.lessLoaded(r.sample(), r.sample())
	}
	return r.newChoice(now, s, q, best, noRank)
}

// chooseHinted picks the least loaded holder of the longest hinted prefix.
func (r *Router) chooseHinted(now sardine.Millis, s *service, q Request) Choice {
	var best *target
	for _, t := range r.hints.holders(q.PrefixHashes) {
		if t != nil && r.mayUse(now, t, q) && (best == nil || t.requests() < best.requests()) {
			best = t
		}
	}
	if best == nil {
		best = r.lessLoaded(r.sample(), r.sample())
	}
	return r.newChoice(now, s, q, best, noRank)
}

// affinityKey returns the hash that decides the rendezvous order. It covers
// the first blocks only, so that requests that share a system prompt and
// differ later have the same order.
func (r *Router) affinityKey(q Request) (uint64, bool) {
	if len(q.PrefixHashes) == 0 {
		return 0, false
	}
	return q.PrefixHashes[min(len(q.PrefixHashes), r.options.affinityBlocks)-1], true
}

// newChoice returns a choice of the target with the router's estimates for
// it.
func (r *Router) newChoice(now sardine.Millis, s *service, q Request, t *target, rank int) Choice {
	blocks := r.hints.match(t, q.PrefixHashes)
	cached := s.cachedBlocks(q, blocks, rank)
	uncached := uncachedTokens(q, cached)
	return Choice{
		Candidate:      t.candidate,
		Expected:       sardine.Millis(t.expected(now, s, uncached)),
		TargetRequests: t.requests(),
		ReportAge:      now - t.loadAt,
		Hinted:         blocks > 0,
		target:         t,
		request:        q,
		rank:           rank,
		uncached:       uncached,
		hintedBlocks:   blocks,
	}
}

func uncachedTokens(q Request, cachedBlocks float64) float64 {
	return max(float64(q.PromptTokens)-cachedBlocks*BlockTokens, 1)
}

// mix is a hash finalizer: it spreads the bits of its argument.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
