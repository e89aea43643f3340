package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// bucket is the step of a Window.
const bucket = sardine.Second

// caution is the part of the bound that is used: nodes that start anew have
// forgotten their repeats, and their number is known with a delay.
const caution = 0.8

// Window bounds the repeats of each service within a sliding window: a share of
// its first requests, and a slack. All entry nodes share the bound, so each keeps
// to its own requests and its part of the slack.
type Window struct {
	ratio    float64
	length   int     // of the window, in buckets
	slack    float64 // of all nodes
	nodes    int
	services map[sardine.ServiceName]*counts
}

// counts holds first requests and repeats by bucket.
type counts struct {
	at      int64 // bucket of the newest
	firsts  []int
	repeats []int
	denied  []int // for want of repeats
	told    int64 // bucket that Second has told last
}

// NewWindow returns a bound of ratio repeats for each first request and a slack
// of all nodes, in any span of the length.
func NewWindow(ratio, slack float64, length sardine.Millis) *Window {
	return &Window{
		ratio:    ratio,
		slack:    slack,
		length:   int(max(length/bucket, 1)),
		nodes:    1,
		services: make(map[sardine.ServiceName]*counts),
	}
}

// SetNodes tells how many entry nodes share the bound.
func (w *Window) SetNodes(n int) {
	w.nodes = max(n, 1)
}

// First notes a caller's request.
func (w *Window) First(now sardine.Millis, s sardine.ServiceName) {
	c := w.counts(now, s)
	c.firsts[len(c.firsts)-1]++
}

// Take reports whether a request may be repeated now, and counts it if so.
func (w *Window) Take(now sardine.Millis, s sardine.ServiceName) bool {
	c := w.counts(now, s)
	if !w.Room(now, s) {
		c.denied[len(c.denied)-1]++
		return false
	}
	c.repeats[len(c.repeats)-1]++
	return true
}

// Room reports whether a request could be repeated now.
func (w *Window) Room(now sardine.Millis, s sardine.ServiceName) bool {
	return w.left(now, s) > 0
}

// left returns how many repeats the bound still allows, at most one of them in
// part.
func (w *Window) left(now sardine.Millis, s sardine.ServiceName) float64 {
	c := w.counts(now, s)
	firsts := sum(c.firsts[1:]) // the oldest bucket may lie outside of the window
	return caution*(w.ratio*float64(firsts)+w.Part()) - float64(sum(c.repeats))
}

// Left returns how many repeats are left to the service that has fewest of them.
func (w *Window) Left(now sardine.Millis) float64 {
	least := w.slack
	for s := range w.services {
		least = min(least, w.left(now, s))
	}
	return max(least, 0)
}

// Nodes returns how many entry nodes share the bound.
func (w *Window) Nodes() int {
	return w.nodes
}

// Part returns the node's part of the slack, in repeats.
func (w *Window) Part() float64 {
	return w.slack / float64(w.nodes)
}

// counts moves a service's buckets on. They cover one bucket more than the
// window, so that repeats count for as long as any window may hold them.
func (w *Window) counts(now sardine.Millis, s sardine.ServiceName) *counts {
	at := int64(now / bucket)
	c := w.services[s]
	if c == nil {
		c = newCounts(at, w.length+1)
		w.services[s] = c
	}
	for range min(at-c.at, int64(w.length)+1) {
		c.firsts = append(c.firsts[1:], 0)
		c.repeats = append(c.repeats[1:], 0)
		c.denied = append(c.denied[1:], 0)
	}
	c.at = max(c.at, at)
	return c
}

func newCounts(at int64, buckets int) *counts {
	return &counts{at: at, told: at - 1, firsts: make([]int, buckets), repeats: make([]int, buckets), denied: make([]int, buckets)}
}

func sum(numbers []int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
