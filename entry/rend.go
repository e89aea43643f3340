package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
)

// abandon ends a request whose caller has left or whose time is over.
func (q *routed) abandon(ctx context.Context) {
	q.losses.failed()
	if errors.Is(context.Cause(ctx), errDrained) {
		q.fail(errDrained)
		return
	}
	q.node.meter.sized(q, "left")
	q.logLeft(context.Cause(ctx))
	panic(http.ErrAbortHandler) // nobody reads an answer any more
}

// fail gives the request up. What may have run gets an answer that promises
// nothing; a head that is out can only be followed by the connection's end.
func (q *routed) fail(err error) {
	q.losses.failed()
	event.Log(q.node.log, event.RequestFailed, append(q.timeAttrs(), codeAttr(err), ranAttr(q.ran), slog.Bool("began", q.began),
		slog.Bool("repeat_denied", q.repeatDenied))...)
	q.node.meter.failed(err)
	q.node.meter.sized(q, "failed")
	if q.began {
		panic(http.ErrAbortHandler)
	}
	q.answer(q.final(err))
}

// final is what the caller is told of a failure. A status that promises that the
// request did not run is given if and only if that is known.
func (q *routed) final(err error) error {
	status := codes.Of(err).Status()
	promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case q.ran == sardine.RanNo && !promise:
		return codes.Wrap(codes.NoTarget, err, "the request was not run")
	case q.ran != sardine.RanNo && status < http.StatusInternalServerError, q.ran != sardine.RanNo && promise:
		return codes.Wrap(codes.TargetFailed, err, "the request may have run")
	default:
		return err
	}
}

// refuse answers a request that no target got.
func (q *routed) refuse(err error) {
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	attrs := append([]slog.Attr{requestAttr(q.call.ID), codeAttr(err), slog.String("route", name)}, q.sizeAttrs()...)
	if codes.Is(err, codes.PoisonRequest) {
		event.Log(q.node.log, event.RequestPoison, append(attrs, ranAttr(sardine.RanNo), poisonAttr(q.losses.poison))...)
	} else {
		event.Log(q.node.log, event.RequestRefused, attrs...)
	}
	q.node.meter.refused(err)
	q.node.meter.sized(q, "refused")
	if closesConnection(err) {
		q.w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	q.answer(err)
}

func (q *routed) answer(err error) {
	after := sardine.Millis(0)
	if codes.Of(err).Status() == http.StatusServiceUnavailable {
		after = q.node.comeBack(err)
	}
	q.node.callers.Refuse(q.w, sardine.Refusal{Request: q.call.ID, Cause: err, Ran: q.ran, RetryAfter: after})
}

const (
	// returnAfter is when callers of a request that was not run should come back:
	// about the time until a group that lost a member is replaced in the routes.
	returnAfter = sardine.Second
	// layoutAfter is how long after its start a node knows the layout at the latest,
	// unless the control nodes can't elect a leader.
	layoutAfter = 1500 * sardine.Millis(1)
)

// comeBack spreads the return of refused callers. Those of a node that has just
// started come back once it knows the layout: all nodes may have started at the same
// moment, and a caller that is refused twice may not come a third time.
func (n *Node) comeBack(err error) sardine.Millis {
	spread := sardine.Millis(n.random.IntN(int(returnAfter)))
	if codes.Is(err, codes.NoLease) {
		return max(layoutAfter-(n.clock.Now()-n.startedAt), returnAfter/2) + spread
	}
	return returnAfter/2 + spread
}

func (q *routed) logAttempt(choice *route.Choice, err error) {
	q.node.meter.attempted(err)
	event.Log(q.node.log, event.AttemptFailed, requestAttr(q.call.ID), poisonAttr(q.losses.poison), codeAttr(err), ranAttr(q.ran),
		slog.String("target", choice.Candidate.Ref.String()), slog.String("route", q.route.Name),
		slog.String("waited_ms", strconv.Itoa(int(q.node.clock.Now()-q.arrived))))
}
