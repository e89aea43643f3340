package admit

import (
	sardine "sardineswitch.dev/sardine"
)

// gate is the admission state of one service.
type gate struct {
	limiter         limiter
	inFlight        int
	live            int       // live requests in flight
	classes         [3]*class // by priority, lowest first
	meanServiceTime float64   // moving mean of the milliseconds that an admitted request is in flight
}

func newGate(o *options) *gate {
	return &gate{
		limiter: newLimiter(o),
		classes: [3]*class{newClass(o.batchMinShare), newClass(o.normalMinShare), newClass(1)},
	}
}

func (g *gate) class(p sardine.Priority) *class {
	return g.classes[index(p)]
}

// index returns the class of a priority; an unknown priority is normal.
func index(p sardine.Priority) int {
	switch p {
	case sardine.PriorityBatch:
		return 0
	case sardine.PriorityLive:
		return 2
	default:
		return 1
	}
}

// hasCapacity reports whether a request of the class may start now. Live
// requests may exceed the limit while fewer than their share of it are in
// flight: requests last for seconds, and after a decrease of the limit a live
// request must not wait for others to end.
func (g *gate) hasCapacity(class int, liveShare float64) bool {
	limit := max(g.limiter.limit, 1)
	if class == 2 && float64(g.live) < limit*liveShare {
		return true
	}
	return float64(g.inFlight) < limit
}

func (g *gate) waiting() int {
	return g.classes[0].waiting + g.classes[1].waiting + g.classes[2].waiting
}

// ahead returns the number of waiting requests that are released before a new
// one of the class.
func (g *gate) ahead(class int) int {
	n := 0
	for i := class; i < len(g.classes); i++ {
		n += g.classes[i].waiting
	}
	return n
}

// wait returns the expected wait in milliseconds with n requests ahead.
func (g *gate) wait(n int) float64 {
	return float64(n) * g.meanServiceTime / max(g.limiter.limit, 1)
}

// next removes and returns the next request to release, or nil: from a lower
// class with a deficit of at least one request, else from the highest class
// with a waiting request.
func (g *gate) next(liveShare float64) *waiter {
	for i := range 2 {
		c := g.classes[i]
		if c.deficit >= 1 && c.waiting > 0 && g.hasCapacity(i, liveShare) {
			c.deficit--
			return c.pop()
		}
	}
	for i := len(g.classes) - 1; i >= 0; i-- {
		if g.classes[i].waiting == 0 || !g.hasCapacity(i, liveShare) {
			continue
		}
		g.addDeficits(i)
		return g.classes[i].pop()
	}
	return nil
}

// addDeficits adds the minimum shares of the waiting lower classes to their
// deficits when a higher class is served.
func (g *gate) addDeficits(served int) {
	for i := range served {
		c := g.classes[i]
		if c.waiting == 0 {
			c.deficit = 0
			continue
		}
		c.deficit = min(c.deficit+c.minShare, 4)
	}
}

// observeServiceTime records how long an admitted request was in flight.
func (g *gate) observeServiceTime(span sardine.Millis) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = float64(span)
		return
	}
	g.meanServiceTime += 0.05 * (float64(span) - g.meanServiceTime)
}
