package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// counts holds the counters of one service by bucket, the newest last.
// Retries are kept for one bucket more than the window, which may begin
// within the oldest bucket, and requests for half a window more than that.
type counts struct {
	newest        int64 // number of the newest bucket
	requests      []int
	retries       []int
	denied        []int     // retries that the bound denied
	usedAllowance []float64 // part of the allowance used by retries
	inherited     []float64 // part of the allowance used by the previous incarnation
	reportedUntil int64     // newest bucket that Seconds has returned
}

func newCounts(at int64, window int) *counts {
	return &counts{
		newest:        at,
		requests:      make([]int, window+window/2+1),
		retries:       make([]int, window+1),
		denied:        make([]int, window+1),
		usedAllowance: make([]float64, window+1),
		inherited:     make([]float64, window+1),
		reportedUntil: at - 1,
	}
}

// counts returns a service's counters, advanced to now.
func (w *Window) counts(now sardine.Millis, s sardine.ServiceName) *counts {
	at := int64(now / bucket)
	c := w.services[s]
	if c == nil {
		c = newCounts(at, w.length)
		w.services[s] = c
	}
	if passed := int(min(at-c.newest, int64(len(c.requests)))); passed > 0 {
		shift(c.requests, passed)
		shift(c.retries, passed)
		shift(c.denied, passed)
		shift(c.usedAllowance, passed)
		shift(c.inherited, passed)
		c.newest = at
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
