package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

const (
	// turnShare is the part of the time left that a request may wait for its turn at a
	// target. The target needs the rest.
	turnShare = 0.5
	// begunTurnShare is that part for a request that a target has begun to run: its
	// caller can't be told that it has not run.
	begunTurnShare = 0.8
)

// pickInTurn is pick for a request that may wait for its turn.
func (q *routedRun) pickInTurn(ctx context.Context) (*route.Choice, error) {
	now := q.node.clock.Now()
	t := &turn{
		service: q.service.routeName(), begun: q.ran != sardine.RanNo, priority: q.priority(),
		arrived: q.arrived, until: q.turnDeadline(now),
	}
	unsent := q.unsent
	return q.node.inTurn(ctx, t, func(yielded []route.Ref) (*route.Choice, error) {
		q.unsent = unsent // of candidates that had no turn, none was used up
		return q.pick(yielded)
	})
}

// turnDeadline returns until when a request may wait for its turn: a new one so that it
// can still meet its objective, one that was sent before so that it can still be
// answered at all, and a stream that goes on so that its caller does not disconnect.
func (q *routedRun) turnDeadline(now sardine.Millis) sardine.Millis {
	left, share := q.arrived+q.route.Objective-now, turnShare
	switch {
	case q.isResumed():
		left = q.disconnectGap()
	case q.ran != sardine.RanNo:
		left, share = q.deadline-now, begunTurnShare
	}
	return min(q.deadline, now+sardine.Millis(share*float64(max(left, 0))))
}

// priority returns the request's priority, that of its workspace before that of its
// route.
func (q *routedRun) priority() int {
	if q.tenant != nil && q.tenant.HasPriority {
		return q.tenant.Priority
	}
	return q.route.Priority
}
