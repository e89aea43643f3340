package route

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// loadBound is the factor over the mean load at which the rendezvous policy
// moves on to the next place.
const loadBound = 1.25

// noRank is the rank of a target outside of the rendezvous places.
const noRank = -1

// choose applies the policy to r.usable, which is not empty.
func (r *Router) choose(now sardine.Millis, s *service, q Request) Choice {
	switch r.options.policy {
	case Random:
		return r.choice(now, s, q, r.sample(), noRank)
	case LeastInFlight:
		return r.choice(now, s, q, r.least(func(t *target) float64 { return float64(t.inFlight) }), noRank)
	case TwoChoices:
		return r.choice(now, s, q, r.lessLoaded(r.sample(), r.sample()), noRank)
	case Rendezvous:
		return r.bounded(now, s, q)
	case Hints:
		return r.hinted(now, s, q)
	case Batch:
		return r.batched(now, s, q)
	default:
		return r.mixed(now, s, q)
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

// crowdMost bounds how many entry nodes may choose the same target by the same
// reports: a third of a usual batch, which it has room for at any time.
const crowdMost = 10

// thinOut keeps so few random targets that no more than crowdMost nodes are
// expected to have the least loaded of all among them.
func (r *Router) thinOut() {
	count := len(r.usable)
	if r.nodes <= crowdMost || count < 2 {
		return
	}
	kept := max(count*crowdMost/r.nodes, 2)
	for i := range min(kept, count) {
		other := i + r.random.IntN(count-i)
		r.usable[i], r.usable[other] = r.usable[other], r.usable[i]
	}
	r.usable = r.usable[:min(kept, count)]
}

// least returns the target with the lowest value, a random one among equals.
func (r *Router) least(value func(*target) float64) *target {
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

// bounded walks the prefix's rendezvous order to the first target whose load is
// not far above the mean.
func (r *Router) bounded(now sardine.Millis, s *service, q Request) Choice {
	anchor, ok := r.anchor(q)
	if !ok {
		return r.choice(now, s, q, r.lessLoaded(r.sample(), r.sample()), noRank)
	}
	total := 0.0
	for _, t := range r.usable {
		total += t.requests()
	}
	bound := loadBound*total/float64(len(r.usable)) + 1
	var best *target
	var bestScore uint64
	for _, t := range r.usable {
		score := mix(t.hash ^ anchor)
		if t.requests() <= bound && (best == nil || score > bestScore) {
			best, bestScore = t, score
		}
	}
	if best == nil {
		best = r.lessLoaded(r.sample(), r.sample())
	}
	return r.choice(now, s, q, best, noRank)
}

// hinted takes the holder of the longest hinted prefix, the less loaded one
// among equals.
func (r *Router) hinted(now sardine.Millis, s *service, q Request) Choice {
	var best *target
	for _, t := range r.hints.holders(q.PrefixHashes) {
		if t != nil && r.mayUse(now, t, q) && (best == nil || t.requests() < best.requests()) {
			best = t
		}
	}
	if best == nil {
		best = r.lessLoaded(r.sample(), r.sample())
	}
	return r.choice(now, s, q, best, noRank)
}

// anchor returns the hash that decides the rendezvous order. A hash of the
// first blocks only keeps requests together that share a system prompt and
// differ later.
func (r *Router) anchor(q Request) (uint64, bool) {
	if len(q.PrefixHashes) == 0 {
		return 0, false
	}
	return q.PrefixHashes[min(len(q.PrefixHashes), r.options.anchor)-1], true
}

// choice completes a choice with what the router expects of it.
func (r *Router) choice(now sardine.Millis, s *service, q Request, t *target, rank int) Choice {
	blocks := r.hints.match(t, q.PrefixHashes)
	cached := s.cachedBlocks(q, blocks, rank)
	uncached := uncachedTokens(q, cached)
	return Choice{
		Candidate: t.candidate,
		Expected:  sardine.Millis(t.expected(now, s, uncached)),
		Requests:  t.requests(),
		ReportAge: now - t.loadAt,
		Hinted:    blocks > 0,
		target:    t,
		request:   q,
		rank:      rank,
		uncached:  uncached,
		hinted:    blocks,
	}
}

func uncachedTokens(q Request, cachedBlocks float64) float64 {
	return max(float64(q.PromptTokens)-cachedBlocks*BlockTokens, 1)
}

// mix is a finaliser that spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
