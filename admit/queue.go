package admit

import (
	sardine "sardineswitch.dev/sardine"
)

// waiter is one queued request.
type waiter struct {
	ticket   Ticket
	request  Request
	queuedAt sardine.Millis
	dropped  bool
}

func (w *waiter) cost() float64 {
	return max(w.request.Cost, 1)
}

// flow is one workspace's queue in one class.
type flow struct {
	workspace    sardine.Workspace
	weight       float64
	waiters      []*waiter
	backlog      float64 // total cost of the waiting requests
	virtualStart float64 // virtual start time of the first request
}

// class holds one priority's queues, served in the order of virtual finish
// times (start-time fair queueing). A request is assigned its times only when
// it is the first of its workspace, so that dropped requests are not charged.
type class struct {
	flows       map[sardine.Workspace]*flow
	waiting     int
	virtualTime float64 // virtual start time of the last released request
	deficit     float64 // releases due under the minimum share
	minShare    float64
}

func newClass(minShare float64) *class {
	return &class{flows: make(map[sardine.Workspace]*flow), minShare: minShare}
}

// flow returns the workspace's queue and sets its current weight.
func (c *class) flow(w sardine.Workspace, weight float64) *flow {
	f := c.flows[w]
	if f == nil {
		f = &flow{workspace: w}
		c.flows[w] = f
	}
	f.weight = weight
	f.trim()
	if len(f.waiters) == 0 {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
	}
	return f
}

// push appends a request to its workspace's queue.
func (c *class) push(w *waiter, weight float64) {
	f := c.flow(w.request.Workspace, weight)
	f.waiters = append(f.waiters, w)
	f.backlog += w.cost()
	c.waiting++
}

// charge accounts for a request that was admitted without waiting, so that a
// workspace's share covers such requests as well.
func (c *class) charge(r Request, weight float64) {
	f := c.flow(r.Workspace, weight)
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += max(r.Cost, 1) / weight
}

// pop removes and returns the request with the lowest virtual finish time, or
// nil.
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
	c.virtualTime = max(c.virtualTime, first.virtualStart)
	first.virtualStart = first.finish(w)
	return w
}

func (f *flow) finish(w *waiter) float64 {
	return f.virtualStart + w.cost()/f.weight
}

// before orders flows by the finish time of their first request, and by name
// if equal, so that the result does not depend on map order.
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
		if longest == nil || f.normalizedBacklog() > longest.normalizedBacklog() || (f.normalizedBacklog() == longest.normalizedBacklog() && f.workspace < longest.workspace) {
			longest = f
		}
	}
	return longest
}

func (f *flow) normalizedBacklog() float64 {
	return f.backlog / f.weight
}

// newest returns the newest waiting request, or nil.
func (f *flow) newest() *waiter {
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

// removeIdle removes empty flows without outstanding charges, so that the
// number of flows is bounded by the active workspaces.
func (c *class) removeIdle() {
	for name, f := range c.flows {
		f.trim()
		if len(f.waiters) == 0 && f.virtualStart <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}
