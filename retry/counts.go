package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// counts holds what happened to one service by bucket, the newest last. Repeats are
// held for one bucket more than the window, which may begin within the oldest, and
// requests for half a window more than that.
type counts struct {
	at      int64 // bucket of the newest
	firsts  []int
	repeats []int
	denied  []int     // for want of repeats
	slack   []float64 // that repeats have taken
	before  []float64 // that repeats of the incarnation before have taken
	told    int64     // newest bucket that Seconds has told
}

func newCounts(at int64, window int) *counts {
	return &counts{
		at:      at,
		firsts:  make([]int, window+window/2+1),
		repeats: make([]int, window+1),
		denied:  make([]int, window+1),
		slack:   make([]float64, window+1),
		before:  make([]float64, window+1),
		told:    at - 1,
	}
}

// counts moves a service's buckets on.
func (w *Window) counts(now sardine.Millis, s sardine.ServiceName) *counts {
	at := int64(now / bucket)
	c := w.services[s]
	if c == nil {
		c = newCounts(at, w.length)
		w.services[s] = c
	}
	if passed := int(min(at-c.at, int64(len(c.firsts)))); passed > 0 {
		shift(c.firsts, passed)
		shift(c.repeats, passed)
		shift(c.denied, passed)
		shift(c.slack, passed)
		shift(c.before, passed)
		c.at = at
	}
	return c
}

// shift drops the oldest items and appends as many zeros.
func shift[N int | float64](items []N, by int) {
	by = min(by, len(items))
	copy(items, items[by:])
	clear(items[len(items)-by:])
}

func sum[N int | float64](items []N) N {
	var total N
	for _, n := range items {
		total += n
	}
	return total
}
