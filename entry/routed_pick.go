package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/route"
)

// pick chooses a target that is not suspected and has not been tried.
func (q *routedRun) pick() (*route.Choice, error) {
	n := q.node
	wanted := route.Request{Service: q.service.routeName(), PromptTokens: q.call.PromptTokens}
	wanted.Exclude = append(n.health.suspects(), q.tried...)
	choice, err := n.gate.pick(wanted)
	if err != nil && len(wanted.Exclude) > len(q.tried) { // a suspected target is better than none
		wanted.Exclude = q.tried
		choice, err = n.gate.pick(wanted)
	}
	if err != nil {
		q.unsent = maxUnsent // no other candidate is left
		return nil, err
	}
	if !n.view().current(choice.Candidate) {
		n.gate.finish(choice, route.DispatchResult{Canceled: true})
		q.unsent++
		return nil, codes.New(codes.NoTarget, "the chosen target has just left")
	}
	if !q.assignRank(choice) {
		n.gate.finish(choice, route.DispatchResult{Canceled: true})
		return nil, codes.New(codes.QueueFull, "the least loaded target has %.0f requests already", choice.TargetRequests)
	}
	return choice, nil
}

// assignRank ranks the request by the load of its target, and reports whether
// it may be sent at all.
func (q *routedRun) assignRank(c *route.Choice) bool {
	q.rank = -1
	slots := q.slots()
	if slots == 0 {
		return true
	}
	now := q.node.clock.Now()
	rank, ok := place.Rank(place.Request{
		TargetRequests: c.TargetRequests,
		Slots:          slots,
		Saturated:      c.Saturated,
		Probe:          q.probing,
		Late:           q.waited+now-q.arrived > q.route.Objective,
		Resumed:        q.events.Last() != "",
		Bound:          q.node.batchBounds.Bound(now, q.service.routeName()),
	})
	q.rank = rank
	return ok
}

// engine returns the properties of the service's engines, nil if it has none.
func (q *routedRun) engine() *sardine.EngineSpec {
	table := q.node.view().table
	if table == nil {
		return nil
	}
	service := table.Service(q.name)
	if service == nil {
		return nil
	}
	return service.Engine
}

// slots returns the batch size of the service's engines, 0 if it is unknown.
func (q *routedRun) slots() int {
	if engine := q.engine(); engine != nil {
		return engine.Slots
	}
	return 0
}

// recordDemand records how many events the caller expects within the route's
// timeout.
func (q *routedRun) recordDemand() {
	if events := q.expectedEvents(); events > 0 {
		q.node.batchBounds.ObserveRequest(q.arrived, q.service.routeName(), events, q.route.Timeout)
	}
}

// expectedEvents returns how many events the caller of a stream expects, 0 if
// that is not known.
func (q *routedRun) expectedEvents() float64 {
	engine := q.engine()
	if engine == nil || engine.Iteration.Steps <= 0 || q.route.Kind != sardine.RouteStream {
		return 0
	}
	return float64(q.call.ExpectedAnswer()) / float64(engine.Iteration.Steps)
}
