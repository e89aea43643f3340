package admit

import (
	sardine "sardineswitch.dev/sardine"
)

// gate admits the requests of one service.
type gate struct {
	limiter  limiter
	inFlight int
	live     int       // of those in flight
	classes  [3]*class // by priority, lowest first
	service  float64   // moving mean of an admitted request's milliseconds in flight
}

func newGate(o *options) *gate {
	return &gate{
		limiter: newLimiter(o),
		classes: [3]*class{newClass(o.batchPart), newClass(o.normalPart), newClass(1)},
	}
}

func (g *gate) class(p sardine.Priority) *class {
	return g.classes[index(p)]
}

// index returns the class of a priority; an unknown one is normal.
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

// room reports whether a request of the class may start now. Live requests may
// pass the limit while they are less than their share of it: requests last for
// seconds, and after the limit fell a live cue must not wait until others end.
func (g *gate) room(class int, liveShare float64) bool {
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

// wait returns the expected wait of a request with n others ahead of it.
func (g *gate) wait(n int) float64 {
	return float64(n) * g.service / max(g.limiter.limit, 1)
}

// next takes the next request to release: a lower class that is owed one under
// its floor, else the highest class with a request waiting.
func (g *gate) next(liveShare float64) *waiter {
	for i := range 2 {
		c := g.classes[i]
		if c.owed >= 1 && c.waiting > 0 && g.room(i, liveShare) {
			c.owed--
			return c.pop()
		}
	}
	for i := len(g.classes) - 1; i >= 0; i-- {
		if g.classes[i].waiting == 0 || !g.room(i, liveShare) {
			continue
		}
		g.owe(i)
		return g.classes[i].pop()
	}
	return nil
}

// owe adds to the claims of the lower classes that wait while a higher one is
// served.
func (g *gate) owe(served int) {
	for i := range served {
		c := g.classes[i]
		if c.waiting == 0 {
			c.owed = 0
			continue
		}
		c.owed = min(c.owed+c.floor, 4)
	}
}

// learn takes how long an admitted request was in flight.
func (g *gate) learn(span sardine.Millis) {
	if g.service == 0 {
		g.service = float64(span)
		return
	}
	g.service += 0.05 * (float64(span) - g.service)
}
