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

// abandon ends a request whose caller has disconnected or whose time is up.
func (q *routedRun) abandon(ctx context.Context) {
	q.losses.failed()
	if errors.Is(context.Cause(ctx), errDrained) {
		q.fail(errDrained)
		return
	}
	q.node.meter.sized(q, "left")
	q.logAbandoned(context.Cause(ctx))
	panic(http.ErrAbortHandler) // nobody reads an answer
}

// fail ends the request with an error. If it may have run, the error does not
// promise that it did not. If the header was already sent, the only way to
// report the error is to abort the connection.
func (q *routedRun) fail(err error) {
	q.losses.failed()
	event.Log(q.node.log, event.RequestFailed, append(q.timeAttrs(), codeAttr(err), ranAttr(q.ran), slog.Bool("began", q.headSent),
		slog.Bool("repeat_denied", q.retryDenied))...)
	q.node.meter.failed(err)
	q.node.meter.sized(q, "failed")
	if q.headSent {
		panic(http.ErrAbortHandler)
	}
	q.sendRefusal(q.final(err))
}

// final returns the error for the caller. It has a status that promises that
// the request did not run if and only if that is certain.
func (q *routedRun) final(err error) error {
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

// refuse answers a request that was not sent to any target.
func (q *routedRun) refuse(err error) {
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
	q.sendRefusal(err)
}

func (q *routedRun) sendRefusal(err error) {
	after := sardine.Millis(0)
	if codes.Of(err).Status() == http.StatusServiceUnavailable {
		after = q.node.retryAfter(err)
	}
	if r := (*refusal)(nil); q.refusedByPeer && errors.As(err, &r) {
		after = r.retryAfter
	}
	q.markRefusal(q.w.Header(), err, after)
	q.node.callers.Refuse(q.w, sardine.Refusal{Request: q.call.ID, Cause: err, Ran: q.ran, RetryAfter: after})
}

const (
	// retryDelay is the Retry-After for requests that did not run, before it is
	// randomized: about the time until a group that lost a member is replaced
	// in the routes.
	retryDelay = sardine.Second
	// drainingDelay is the Retry-After of a node that is shutting down: all
	// others can answer at once.
	drainingDelay = 50 * sardine.Millis(1)
	// layoutDelay is the time after its start within which a node gets the
	// layout, unless the control nodes can't elect a leader.
	layoutDelay = 1500 * sardine.Millis(1)
)

// retryAfter returns a randomized Retry-After, to spread the retries of refused
// callers. Callers of a node that has just started are asked to wait until it
// has the layout: all nodes may have started at the same moment, and a caller
// that is refused twice may not try a third time.
func (n *Node) retryAfter(err error) sardine.Millis {
	spread := sardine.Millis(n.random.IntN(int(retryDelay)))
	if codes.Is(err, codes.NoLease) {
		return max(layoutDelay-(n.clock.Now()-n.startedAt), retryDelay/2) + spread
	}
	if codes.Is(err, codes.Draining) {
		return drainingDelay
	}
	if wait, limited := limitWait(err); limited {
		return wait + spread
	}
	return retryDelay/2 + spread
}

func (q *routedRun) logAttempt(choice *route.Choice, err error, ran sardine.Ran) {
	q.node.meter.attempted(err)
	event.Log(q.node.log, event.AttemptFailed, requestAttr(q.call.ID), poisonAttr(q.losses.poison), codeAttr(err), ranAttr(ran),
		slog.String("target", choice.Candidate.Ref.String()), slog.String("route", q.route.Name),
		slog.String("waited_ms", strconv.Itoa(int(q.node.clock.Now()-q.arrived))))
}
