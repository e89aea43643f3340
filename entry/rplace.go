package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/route"
)

// pick chooses a target that is not suspected and was not tried yet.
func (q *routed) pick() (*route.Choice, error) {
	n := q.node
	wanted := route.Request{Service: q.service.routed(), PromptTokens: q.call.PromptTokens}
	wanted.Exclude = append(n.vitals.suspects(), q.tried...)
	choice, err := n.gate.pick(wanted)
	if err != nil && len(wanted.Exclude) > len(q.tried) { // better a suspect than none
		wanted.Exclude = q.tried
		choice, err = n.gate.pick(wanted)
	}
	if err != nil {
		q.unsent = unsentMost // there is no other
		return nil, err
	}
	if !n.view().current(choice.Candidate) {
		n.gate.finish(choice, route.End{Abort: true})
		q.unsent++
		return nil, codes.New(codes.NoTarget, "the chosen target has just left")
	}
	if !q.placeIn(choice) {
		n.gate.finish(choice, route.End{Abort: true})
		return nil, codes.New(codes.QueueFull, "the least loaded target has %.0f requests already", choice.Requests)
	}
	return choice, nil
}

// placeIn ranks the request by the load of its target, and reports whether it may go
// there at all.
func (q *routed) placeIn(c *route.Choice) bool {
	q.rank = -1
	slots := q.slots()
	if slots == 0 {
		return true
	}
	now := q.node.clock.Now()
	rank, ok := place.Rank(place.Request{
		Requests: c.Requests,
		Slots:    slots,
		Standing: c.Standing,
		Late:     q.waited+now-q.arrived > q.route.Objective,
		Resumed:  q.events.Last() != "",
		Bound:    q.node.paces.Bound(now, q.service.routed()),
	})
	q.rank = rank
	return ok
}

// engine returns how the service's engines work, nil if it has none.
func (q *routed) engine() *sardine.EngineSpec {
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

// slots returns the batch of the service's engines, 0 if it is not known.
func (q *routed) slots() int {
	if engine := q.engine(); engine != nil {
		return engine.Slots
	}
	return 0
}

// askPace tells how many events the caller expects in the time that the route gives it.
func (q *routed) askPace() {
	if engine := q.engine(); engine != nil && engine.Passes.Steps > 0 && q.route.Kind == sardine.RouteStream {
		events := float64(q.call.Answer()) / float64(engine.Passes.Steps)
		q.node.paces.Asked(q.arrived, q.service.routed(), events, q.route.Timeout)
	}
}
