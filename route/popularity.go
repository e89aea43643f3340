package route

import (
	"math"
)

// popularityWindow is the number of requests after which earlier ones count
// half.
const popularityWindow = 8192

// minPopularityTotal is the smallest total that shares are computed from:
// with fewer requests, shares are underestimated.
const minPopularityTotal = 256

// confidenceSigmas is the number of standard deviations subtracted from a
// count for its lower bound.
const confidenceSigmas = 2

// popularity estimates each prefix's share of the requests.
type popularity struct {
	counts map[uint64]float64
	total  float64
	seen   int
}

func newPopularity() *popularity {
	return &popularity{counts: make(map[uint64]float64)}
}

// count adds a request.
func (p *popularity) count(affinityKey uint64) {
	p.counts[affinityKey]++
	p.total++
	p.seen++
	if p.seen%popularityWindow != 0 {
		return
	}
	p.total = 0
	for a, n := range p.counts {
		if n < 1 {
			delete(p.counts, a)
			continue
		}
		p.counts[a] = n / 2
		p.total += n / 2
	}
}

// targetCount returns over how many of n targets a prefix is spread: its
// share of the requests times spread, at least minTargets, rounded up to a
// power of two so that entry nodes with slightly different counts agree. The
// share is a lower bound: a prefix seen a few times by chance must not be
// spread over targets that evict it between two requests.
func (p *popularity) targetCount(affinityKey uint64, n int, spread float64, minTargets int) int {
	count := p.counts[affinityKey]
	share := max(count-confidenceSigmas*math.Sqrt(count), 0) / max(p.total, minPopularityTotal)
	wanted := share * spread * float64(n)
	if wanted <= float64(minTargets) {
		return min(minTargets, n)
	}
	return min(1<<int(math.Ceil(math.Log2(wanted))), n)
}
