package retry

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

const (
	// bucket is the time resolution of a Window.
	bucket = sardine.Second / bucketsPerSecond
	// bucketsPerSecond is the number of buckets in a second.
	bucketsPerSecond = 4
	// allowanceScale converts retries to the thousandths in which the log
	// holds used allowance.
	allowanceScale = 1000
	// earlierWeight is the weight of the requests in the span that began half
	// a window before the window: it allows retries at once when targets
	// begin to fail. The window's own requests have the remaining weight, so
	// that a node that has just started may retry, too.
	earlierWeight = 0.5
	// roundingError is the largest error of a sum of fractional retries.
	roundingError = 1e-6
)

// Window limits the retries of each service in any sliding window to a ratio
// of its requests plus an allowance. The requests are the mean of those in
// the window and those in the span of the same length that began half a
// window earlier. All entry nodes share the limit: each node uses its own
// requests and its own part of the allowance.
//
// For a given window, all nodes count the requests of the same spans. If each
// node instead counted the requests before each of its retries, a node that
// stops early and a node that takes over its callers would count requests of
// different times, and the sum could exceed the ratio of any span.
type Window struct {
	ratio     float64
	length    int     // of the window, in buckets
	allowance float64 // of all nodes, in retries
	share     Share
	closed    bool
	services  map[sardine.ServiceName]*counts
}

// NewWindow returns a Window that allows, in any span of the given length,
// ratio retries per request plus an allowance shared by all nodes. The node
// has no part of the allowance yet.
func NewWindow(ratio, allowance float64, length sardine.Millis) *Window {
	buckets := int(max(length/bucket, 2))
	return &Window{
		ratio:     ratio,
		length:    buckets,
		allowance: allowance,
		share:     Share{length: sardine.Millis(buckets) * bucket},
		services:  make(map[sardine.ServiceName]*counts),
	}
}

// Share returns the node's share of the allowance.
func (w *Window) Share() *Share {
	return &w.share
}

// CountRequest counts a caller's request.
func (w *Window) CountRequest(now sardine.Millis, s sardine.ServiceName) {
	c := w.counts(now, s)
	c.requests[len(c.requests)-1]++
}

// TryRetry reports whether a request may be retried now. It counts the retry or
// its denial.
func (w *Window) TryRetry(now sardine.Millis, s sardine.ServiceName) bool {
	c := w.counts(now, s)
	if !w.CanRetry(now, s) {
		c.denied[len(c.denied)-1]++
		return false
	}
	c.usedAllowance[len(c.usedAllowance)-1] += max(1-w.retriesByRatio(c), 0)
	c.retries[len(c.retries)-1]++
	return true
}

// CanRetry reports whether a request could be retried now.
func (w *Window) CanRetry(now sardine.Millis, s sardine.ServiceName) bool {
	return !w.closed && w.remaining(now, s) >= 1-roundingError
}

// remaining returns how many retries are still allowed.
func (w *Window) remaining(now sardine.Millis, s sardine.ServiceName) float64 {
	c := w.counts(now, s)
	return w.retriesByRatio(c) + max(w.NodeAllowance(now)-sum(c.usedAllowance)-sum(c.inherited), 0)
}

// retriesByRatio returns how many retries the requests still allow without
// the allowance: the least over all windows that began in one of the last
// buckets.
func (w *Window) retriesByRatio(c *counts) float64 {
	half, newest := w.length/2, len(c.requests)-1
	// A window may begin at any time within its first bucket, so that bucket
	// and those at both ends of the earlier span may lie outside.
	earlierRequests, windowRequests := sum(c.requests[newest-half+1:]), 0
	retries, allowance, least := 0, 0.0, math.Inf(1)
	for ago := range len(c.retries) {
		if ago > 0 {
			earlierRequests += c.requests[newest-half+1-ago]
			windowRequests += c.requests[newest-ago+1]
		}
		if ago >= half {
			earlierRequests -= c.requests[newest-ago+half]
		}
		retries += c.retries[len(c.retries)-1-ago]
		allowance += c.usedAllowance[len(c.usedAllowance)-1-ago]
		requests := earlierWeight*float64(earlierRequests) + (1-earlierWeight)*float64(windowRequests)
		least = min(least, w.ratio*requests+allowance-float64(retries))
	}
	return max(least, 0)
}

// Remaining returns the remaining retries of the service that has the fewest.
func (w *Window) Remaining(now sardine.Millis) float64 {
	least := w.allowance
	for s := range w.services {
		least = min(least, w.remaining(now, s))
	}
	return least
}

// NodeAllowance returns the node's part of the allowance, in retries.
func (w *Window) NodeAllowance(now sardine.Millis) float64 {
	return w.allowance * w.share.fraction(now)
}

// Inherit adds the allowance that the node's previous incarnation used. That
// incarnation ended before the time at, so its newest bucket is taken as the
// bucket of at.
func (w *Window) Inherit(at sardine.Millis, s state.SpentRetries) {
	for _, service := range s.Services {
		c := w.counts(at, service.Service)
		to := len(c.inherited) - len(service.Spent)
		for i, n := range service.Spent {
			if to+i >= 0 {
				c.inherited[to+i] += float64(n) / allowanceScale
			}
		}
	}
}

// Close denies all further retries. It returns the allowance used in the
// node's slot; a node that may not spend its part yet does not know all of it
// and returns it as not known.
func (w *Window) Close(now sardine.Millis) state.SpentRetries {
	w.closed = true
	if !w.share.isOpen(now) {
		return state.SpentRetries{}
	}
	spent := state.SpentRetries{Known: true}
	for _, s := range w.names() {
		c := w.counts(now, s)
		if sum(c.usedAllowance)+sum(c.inherited) == 0 {
			continue
		}
		one := state.ServiceRetries{Service: s}
		for i, n := range c.usedAllowance {
			one.Spent = append(one.Spent, uint32(math.Ceil((n+c.inherited[i])*allowanceScale)))
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
