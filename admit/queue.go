package admit

import (
	sardine "sardineswitch.dev/sardine"
)

// waiter is one queued request.
type waiter struct {
	ticket  Ticket
	request Request
	at      sardine.Millis
	dropped bool
}

func (w *waiter) cost() float64 {
	return max(w.request.Cost, 1)
}

// flow is one workspace's queue in one class.
type flow struct {
	workspace sardine.Workspace
	weight    float64
	waiters   []*waiter
	backlog   float64 // cost of the requests that wait
	start     float64 // virtual start time of the first request
}

// class is one priority's queues, served in the order of virtual finish times
// (start-time fair queueing). A request gets its times only when it is the
// first of its workspace, so that those dropped before are not charged.
type class struct {
	flows   map[sardine.Workspace]*flow
	waiting int
	virtual float64 // start time of the last request released
	owed    float64 // releases owed under the floor
	floor   float64
}

func newClass(floor float64) *class {
	return &class{flows: make(map[sardine.Workspace]*flow), floor: floor}
}

// flow returns the workspace's queue with its weight of now.
func (c *class) flow(w sardine.Workspace, weight float64) *flow {
	f := c.flows[w]
	if f == nil {
		f = &flow{workspace: w}
		c.flows[w] = f
	}
	f.weight = weight
	f.trim()
	if len(f.waiters) == 0 {
		f.start = max(f.start, c.virtual)
	}
	return f
}

// push queues a request behind those of its workspace.
func (c *class) push(w *waiter, weight float64) {
	f := c.flow(w.request.Workspace, weight)
	f.waiters = append(f.waiters, w)
	f.backlog += w.cost()
	c.waiting++
}

// charge counts a request that was admitted without waiting, so that a
// workspace's share covers both.
func (c *class) charge(r Request, weight float64) {
	f := c.flow(r.Workspace, weight)
	c.virtual = max(c.virtual, f.start)
	f.start += max(r.Cost, 1) / weight
}

// pop takes the request with the lowest virtual finish time.
func (c *class) pop() *waiter {
	var first *flow
	for _, f := range c.flows {
		f.trim()
		if len(f.waiters) > 0 && (first == nil || before(f, first)) {
			first = f
		}
	}
	if first == nil {
		return nil
	}
	w := first.waiters[0]
	first.waiters = first.waiters[1:]
	first.backlog -= w.cost()
	c.waiting--
	c.virtual = max(c.virtual, first.start)
	first.start = first.finish(w)
	return w
}

func (f *flow) finish(w *waiter) float64 {
	return f.start + w.cost()/f.weight
}

// before orders flows by their first request, by name among equals, so that the
// order of the map does not matter.
func before(a, b *flow) bool {
	x, y := a.finish(a.waiters[0]), b.finish(b.waiters[0])
	if x != y {
		return x < y
	}
	return a.workspace < b.workspace
}

// longest returns the flow with the largest backlog for its weight.
func (c *class) longest() *flow {
	var longest *flow
	for _, f := range c.flows {
		if f.backlog <= 0 {
			continue
		}
		if longest == nil || f.share() > longest.share() || (f.share() == longest.share() && f.workspace < longest.workspace) {
			longest = f
		}
	}
	return longest
}

func (f *flow) share() float64 {
	return f.backlog / f.weight
}

// last returns the newest request that waits, nil if there is none.
func (f *flow) last() *waiter {
	for i := len(f.waiters) - 1; i >= 0; i-- {
		if !f.waiters[i].dropped {
			return f.waiters[i]
		}
	}
	return nil
}

// trim removes dropped requests from both ends.
func (f *flow) trim() {
	for len(f.waiters) > 0 && f.waiters[0].dropped {
		f.waiters = f.waiters[1:]
	}
	for len(f.waiters) > 0 && f.waiters[len(f.waiters)-1].dropped {
		f.waiters = f.waiters[:len(f.waiters)-1]
	}
	if len(f.waiters) == 0 {
		f.backlog = 0
	}
}

// drop marks a request as no longer waiting.
func (c *class) drop(w *waiter) {
	if w.dropped {
		return
	}
	w.dropped = true
	c.waiting--
	f := c.flows[w.request.Workspace]
	f.backlog -= w.cost()
	f.trim()
}

// forget removes flows that have caught up, so that their number is bounded by
// the workspaces in use.
func (c *class) forget() {
	for name, f := range c.flows {
		f.trim()
		if len(f.waiters) == 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
}
