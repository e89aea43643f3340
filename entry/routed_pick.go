package entry

import (
	"errors"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/route"
)

// errTargetLeft means that the chosen target was removed before the dispatch.
var errTargetLeft = codes.New(codes.NoTarget, "the chosen target has just left")

// pick chooses a target that is not suspected, not left to more urgent requests and has
// not been tried.
func (q *routedRun) pick(yielded []route.Ref) (*route.Choice, error) {
	resumed := q.isResumed()
	suspects, excluded := q.node.health.suspects(), slices.Concat(q.tried, yielded)
	choice, rank, err := q.choose(slices.Concat(suspects, excluded), resumed, q.probing)
	if len(suspects) > 0 && isNoCandidate(err) && !codes.Is(err, codes.TargetLimited) { // a suspected target is better than none
		choice, rank, err = q.choose(excluded, resumed, q.probing)
	}
	q.rank = rank
	switch {
	case errors.Is(err, errTargetLeft):
		q.unsent++
	case isNoCandidate(err):
		q.unsent = maxUnsent // no other candidate is left
	}
	return choice, err
}

// isResumed reports whether the request continues a stream that its caller has a part of.
func (q *routedRun) isResumed() bool {
	return q.events.Last() != "" || q.passed != nil && q.passed.lastEvent != ""
}

// isNoCandidate reports whether choose has found no target.
func isNoCandidate(err error) bool {
	return err != nil && !errors.Is(err, errTargetLeft) && !codes.Is(err, codes.QueueFull)
}

// choose chooses a target that is not excluded, and the rank of the request in its
// queue. A resumed request continues a stream, a probing one finds out whether a segment
// makes targets fail.
func (q *routedRun) choose(exclude []route.Ref, resumed, probing bool) (*route.Choice, int, error) {
	n := q.node
	choice, err := n.gate.pick(route.Request{Service: q.service.routeName(), PromptTokens: q.call.PromptTokens, Exclude: exclude})
	if err != nil {
		return nil, noRank, err
	}
	if !n.view().current(choice.Candidate) {
		n.gate.finish(choice, route.DispatchResult{Canceled: true})
		return nil, noRank, errTargetLeft
	}
	rank, ok := q.rankAt(choice, resumed, probing)
	if !ok {
		n.gate.finish(choice, route.DispatchResult{Canceled: true})
		return nil, rank, codes.New(codes.QueueFull, "the least loaded target has %.0f requests already", choice.TargetRequests)
	}
	return choice, rank, nil
}

// noRank is the rank of a request at a target without ranks.
const noRank = -1

// rankAt ranks the request by the load of a target, and reports whether it may be sent
// there at all.
func (q *routedRun) rankAt(c *route.Choice, resumed, probing bool) (rank int, ok bool) {
	slots := q.slots()
	if slots == 0 {
		return noRank, true
	}
	now := q.node.clock.Now()
	return place.Rank(place.Request{
		TargetRequests: c.TargetRequests,
		Slots:          slots,
		Saturated:      c.Saturated,
		Probe:          probing,
		Late:           q.waited+now-q.arrived > q.route.Objective,
		Resumed:        resumed,
		Bound:          q.node.batchBounds.Bound(now, q.service.routeName()),
	})
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
