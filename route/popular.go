package route

import (
	"math"
)

// popularWindow is the number of requests after which older ones count half.
const popularWindow = 8192

// popularFloor is the number of requests below which shares are taken as lower.
const popularFloor = 256

// doubt is how many standard deviations a count is lowered by.
const doubt = 2

// popular estimates the share of requests that each prefix has.
type popular struct {
	counts map[uint64]float64
	total  float64
	seen   int
}

func newPopular() *popular {
	return &popular{counts: make(map[uint64]float64)}
}

// count adds a request.
func (p *popular) count(anchor uint64) {
	p.counts[anchor]++
	p.total++
	p.seen++
	if p.seen%popularWindow != 0 {
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

// places returns how many of n targets a prefix is spread over: its share of
// the requests times spread, at least least, rounded up to a power of two so that
// entry nodes with slightly different counts agree. The share is a lower bound, since
// a prefix seen a few times by chance must not be spread over targets that
// forget it between two requests.
func (p *popular) places(anchor uint64, n int, spread float64, least int) int {
	count := p.counts[anchor]
	share := max(count-doubt*math.Sqrt(count), 0) / max(p.total, popularFloor)
	wanted := share * spread * float64(n)
	if wanted <= float64(least) {
		return min(least, n)
	}
	return min(1<<int(math.Ceil(math.Log2(wanted))), n)
}
