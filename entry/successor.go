package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/vital"
)

// errRetryDenied means that the retry limit does not allow for another attempt.
var errRetryDenied = codes.New(codes.TargetFailed, "the retry limit is used up")

// errIsolated means that the node reaches no target.
var errIsolated = codes.New(codes.NoTarget, "this entry node has lost its links to all targets")

// successor is a target that has begun to answer a request that another one has not
// completed.
type successor struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelCauseFunc
	choice *route.Choice
	target dispatched
	rank   int
	health *vital.TrackedRequest
	answer *proxy.Answer
	events *proxy.Events // of a stream, nil otherwise
	first  proxy.Event   // first event of a stream that the caller does not have
}

// abandon cancels the request at a target that is not needed.
func (s *successor) abandon() {
	s.cancel(errHandoverObsolete)
	if s.answer != nil {
		s.answer.Close(false)
	}
	s.release()
}

// release ends the accounting of a dispatch whose answer is not used.
func (s *successor) release() {
	s.node.health.end(s.health)
	s.node.gate.finish(s.choice, route.DispatchResult{Canceled: true})
}

// find looks for a target that takes the request over, and returns it once it has begun
// to answer.
func (h *handover) find(ctx context.Context, s *search) (*successor, error) {
	q, n := h.run, h.run.node
	q.losses.recordSilence(h.target, s.events)
	q.losses.settle(ctx)
	if err := q.losses.allow(); err != nil {
		return nil, err
	}
	probing, err := q.losses.awaitSegments(ctx, q.segmentDeadline())
	if err != nil {
		return nil, err
	}
	if n.isolated() {
		return nil, errIsolated
	}
	q.delayMove(ctx, s.lastAt)
	if n.clock.Now() >= q.deadline {
		return nil, errDeadline
	}
	choice, rank, err := q.choose(slices.Concat(n.health.suspects(), h.tried), s.position.Last() != "", probing)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil || !n.retries.take(n.clock.Now(), q.name) {
		n.gate.finish(choice, route.DispatchResult{Canceled: true})
		return nil, errRetryDenied
	}
	next := &successor{
		node: n, ctx: ctx, cancel: s.cancel, choice: choice, target: q.dispatchedTo(choice), rank: rank,
		health: n.health.begin(choice.Candidate),
	}
	if err := h.open(next, s); err != nil {
		if ctx.Err() == nil {
			q.logAttempt(choice, err, sardine.RanUnknown)
		}
		return nil, err
	}
	return next, nil
}

// open sends the request to a target and waits until its answer begins.
func (h *handover) open(next *successor, s *search) error {
	q, n := h.run, h.run.node
	ref := next.choice.Candidate.Ref
	third := h.attempts+h.ran+1 < q.route.MaxAttempts // another target may be tried after this one
	if third {
		defer n.inFlight.add(next.choice.Candidate, next.cancel, nil)()
	}
	answer, failed := n.proxy.Open(next.ctx, q.exchange(next.choice, s.position.Last(), next.rank))
	n.links.opened(next.ctx, next.choice.Candidate, failed)
	if failed != nil {
		if codes.Is(failed, codes.NoTarget) && next.ctx.Err() == nil {
			n.health.unreachable(ref)
		}
		if failed.Ran() == sardine.RanNo {
			h.refused = append(h.refused, ref) // it may have a place later
		} else {
			h.ran++
			h.tried = append(h.tried, ref)
			h.recordLoss(next, failed)
		}
		next.release()
		return failed
	}
	h.tried = append(h.tried, ref)
	next.answer = answer
	n.health.progress(next.health, false)
	if third {
		answer.SetExpiry(min(q.deadline, n.clock.Now()+sardine.Millis(moveShare*float64(q.disconnectGap()))))
	}
	if err := next.begin(q.route, s.position); err != nil {
		h.ran++
		if !errors.Is(err, errTargetError) {
			h.recordLoss(next, err)
		}
		next.abandon()
		return err
	}
	answer.SetExpiry(q.deadline)
	n.health.progress(next.health, next.events != nil)
	return nil
}

// recordLoss records that a target has not taken the request over. One that was silent
// until the request's time was up may have exited.
func (h *handover) recordLoss(s *successor, err error) {
	if errors.Is(context.Cause(s.ctx), errDeadline) {
		h.run.losses.recordSilence(s.target, 0)
		return
	}
	h.run.losses.recordLoss(s.ctx, s.target, 0, err)
}

// begin reads an answer up to the first event that continues the stream at the given
// position, or its head if it is no stream. It fails if the answer can't follow what the
// caller has.
func (s *successor) begin(r *sardine.Route, position proxy.Sequence) error {
	resp := s.answer.Response
	stream := resp.StatusCode == http.StatusOK && r.Kind == sardine.RouteStream && isEventStream(resp)
	switch {
	case position.MayResume() && !stream:
		return codes.New(codes.StreamBroken, "target answered %d when the stream was resumed there", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		return errTargetError
	case !stream:
		return nil
	}
	s.events = proxy.NewEvents(resp.Body)
	position.Begin()
	for {
		e, err := s.events.Next()
		if errors.Is(err, io.EOF) {
			return codes.New(codes.AnswerInvalid, "the stream ended before its first event")
		}
		if err != nil {
			return codes.Wrap(codes.StreamBroken, err, "the stream broke off before its first event")
		}
		if e.Malformed {
			return codes.New(codes.AnswerInvalid, "the target sent bytes that are no event")
		}
		forwardable, err := position.ShouldForward(e)
		if err != nil {
			return err
		}
		if forwardable && e.HasData {
			s.first = e
			return nil
		}
	}
}
