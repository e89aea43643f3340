package retry

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

const (
	// bucket is the step of a Window.
	bucket = sardine.Second / perSecond
	// perSecond is the number of buckets in a second.
	perSecond = 4
	// thousandths are the unit in which the log holds slack, of a repeat.
	thousandths = 1000
	// earlier is the part of the share that follows the span half a window before: it
	// allows repeats at once when targets begin to fail. The window's own requests give
	// the rest, also to a node that has just started.
	earlier = 0.5
	// rounding is the error that a sum of parts of repeats may have.
	rounding = 1e-6
)

// Window bounds the repeats of each service within a sliding window: a share of its
// requests, and a slack. The requests are a mean of those in the window and those in the
// span that began half a window before. All entry nodes share the bound, so each keeps
// to its own requests and its part of the slack.
//
// For one window, all nodes count the requests of the same spans. With the requests
// before each repeat instead, a node that ends early and one that takes its callers
// over would count those of different times, and the sum exceeds any span's share.
type Window struct {
	ratio    float64
	length   int     // of the window, in buckets
	slack    float64 // of all nodes
	share    Share
	closed   bool
	services map[sardine.ServiceName]*counts
}

// NewWindow returns a bound of ratio repeats for each first request and a slack
// of all nodes, in any span of the length. The node has no part of the slack yet.
func NewWindow(ratio, slack float64, length sardine.Millis) *Window {
	buckets := int(max(length/bucket, 2))
	return &Window{
		ratio:    ratio,
		length:   buckets,
		slack:    slack,
		share:    Share{length: sardine.Millis(buckets) * bucket},
		services: make(map[sardine.ServiceName]*counts),
	}
}

// Share returns the node's share of the slack.
func (w *Window) Share() *Share {
	return &w.share
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
	c.slack[len(c.slack)-1] += max(1-w.free(c), 0)
	c.repeats[len(c.repeats)-1]++
	return true
}

// Room reports whether a request could be repeated now.
func (w *Window) Room(now sardine.Millis, s sardine.ServiceName) bool {
	return !w.closed && w.left(now, s) >= 1-rounding
}

// left returns how many repeats the bound still allows.
func (w *Window) left(now sardine.Millis, s sardine.ServiceName) float64 {
	c := w.counts(now, s)
	return w.free(c) + max(w.Part(now)-sum(c.slack)-sum(c.before), 0)
}

// free returns how many repeats the requests allow without slack: the least over all
// windows that began in one of the last buckets.
func (w *Window) free(c *counts) float64 {
	half, newest := w.length/2, len(c.firsts)-1
	// A window begins at any instant of its bucket, so that the bucket itself and those
	// at the ends of the earlier span may lie outside.
	before, within := sum(c.firsts[newest-half+1:]), 0
	repeats, slack, least := 0, 0.0, math.Inf(1)
	for ago := range len(c.repeats) {
		if ago > 0 {
			before += c.firsts[newest-half+1-ago]
			within += c.firsts[newest-ago+1]
		}
		if ago >= half {
			before -= c.firsts[newest-ago+half]
		}
		repeats += c.repeats[len(c.repeats)-1-ago]
		slack += c.slack[len(c.slack)-1-ago]
		requests := earlier*float64(before) + (1-earlier)*float64(within)
		least = min(least, w.ratio*requests+slack-float64(repeats))
	}
	return max(least, 0)
}

// Left returns how many repeats are left to the service that has fewest of them.
func (w *Window) Left(now sardine.Millis) float64 {
	least := w.slack
	for s := range w.services {
		least = min(least, w.left(now, s))
	}
	return least
}

// Part returns the node's part of the slack, in repeats.
func (w *Window) Part(now sardine.Millis) float64 {
	return w.slack * w.share.at(now)
}

// Inherit counts the slack that the node's incarnation before has spent. It ended
// before the instant at, so that its last bucket is taken for the one that ends there.
func (w *Window) Inherit(at sardine.Millis, s state.Spent) {
	for _, service := range s.Services {
		c := w.counts(at, service.Service)
		to := len(c.before) - len(service.Slack)
		for i, n := range service.Slack {
			if to+i >= 0 {
				c.before[to+i] += float64(n) / thousandths
			}
		}
	}
}

// Close ends the window: nothing more is repeated. It returns the slack that was spent
// at the node's seat, which a node that still waits for its part does not know in full.
func (w *Window) Close(now sardine.Millis) state.Spent {
	w.closed = true
	if !w.share.opened(now) {
		return state.Spent{}
	}
	spent := state.Spent{Known: true}
	for _, s := range w.names() {
		c := w.counts(now, s)
		if sum(c.slack)+sum(c.before) == 0 {
			continue
		}
		one := state.ServiceSlack{Service: s}
		for i, n := range c.slack {
			one.Slack = append(one.Slack, uint32(math.Ceil((n+c.before[i])*thousandths)))
		}
		spent.Services = append(spent.Services, one)
	}
	return spent
}

func (w *Window) names() []sardine.ServiceName {
	var names []sardine.ServiceName
	for s := range w.services {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}
