package entry

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
)

const (
	// handoverInterval is the time between two tries to hand a request over.
	handoverInterval = 200 * sardine.Millis(1)
	// maxHandoverRefusals bounds the targets that refuse to take over an attempt
	// without running it.
	maxHandoverRefusals = 3
	// evacuationPause is the time without progress after which a request leaves its target
	// while the node is isolated. Connections that were open before may live on.
	evacuationPause = 300 * sardine.Millis(1)
	// searchEnd is how long a request whose time is up waits for the end of its search,
	// which may have lost a target.
	searchEnd = 50 * sardine.Millis(1)
)

// errHandedOver ends an attempt whose request another target has taken over.
var errHandedOver = codes.New(codes.TargetFailed, "another target has taken the request over")

// handover moves a request from the target of its current attempt to another one. The
// old target keeps the request until the new one has begun to answer: a silent target
// may still complete it, and there may be no other that can.
type handover struct {
	run      *routedRun
	ctx      context.Context         // of the request
	cancel   context.CancelCauseFunc // ends the current attempt
	target   dispatched              // of the current attempt
	attempts int                     // of the request, including the current one
	beganAt  sardine.Millis

	mu         sync.Mutex
	ended      bool           // the attempt has ended
	retryTaken bool           // the retry limit has granted the next attempt
	settled    bool           // the caller has a part of an answer that only this target can complete
	position   proxy.Sequence // in the stream
	events     int            // of the current attempt
	moveAt     sardine.Millis // when a stream that stays silent moves, 0 before its first event
	lastAt     sardine.Millis // arrival of the last event, 0 before the first
	notBefore  sardine.Millis // of the next search
	tried      []route.Ref    // targets that may not take the request over
	ran        int            // targets that may have run the request without taking it over
	refused    []route.Ref    // targets that refused it
	logged     bool           // a failed search was logged
	search     *search        // the running one, nil if there is none
	next       *successor     // the target that has taken the request over
}

// search is one try to hand a request over.
type search struct {
	cause    error // why the request leaves its target
	cancel   context.CancelCauseFunc
	position proxy.Sequence // in the stream, as of the start
	events   int            // of the attempt, as of the start
	lastAt   sardine.Millis // arrival of the last event, 0 before the first
	done     chan struct{}  // closed at the end
}

// startHandover registers the current attempt, so that the request may leave its
// target. The returned function unregisters it.
func (q *routedRun) startHandover(ctx context.Context, cancel context.CancelCauseFunc, target dispatched) (end func()) {
	q.handover = nil
	attempts := q.attempts + q.uncounted()
	if !q.route.Idempotent() || !q.acceptsAnswer() || attempts >= max(q.route.MaxAttempts, 1) {
		return func() {}
	}
	q.handover = &handover{
		run: q, ctx: ctx, cancel: cancel, target: target, attempts: attempts, tried: slices.Clone(q.tried),
		beganAt: q.node.clock.Now(), position: q.events, lastAt: q.lastEventAt, events: q.attemptEvents,
	}
	return q.node.inFlight.add(target.candidate, cancel, q.handover)
}

// isSilent implements movable.
func (h *handover) isSilent(now sardine.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.moveAt > 0 && now >= h.moveAt
}

// leave implements movable: it starts a search for a target that takes the request over.
func (h *handover) leave(now sardine.Millis, cause error, suspects []route.Ref) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.settled || h.next != nil || h.search != nil || now < h.notBefore || !h.mayMove(suspects) {
		return
	}
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.search = &search{cause: cause, cancel: cancel, position: h.position, events: h.events, lastAt: h.lastAt, done: make(chan struct{})}
	go h.perform(ctx, h.search)
}

// evacuate implements movable. It takes the retry from the limit before it ends the
// attempt, so that no attempt ends for nothing.
func (h *handover) evacuate(now sardine.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.run
	if h.ended || h.settled || h.next != nil || h.retryTaken || !q.mayPass() || now-max(h.beganAt, h.lastAt) < evacuationPause {
		return
	}
	if limit := q.node.retries; !limit.available(now, q.name) || !limit.take(now, q.name) {
		return
	}
	h.retryTaken = true
	if h.search != nil {
		h.search.cancel(errLinksLost)
	}
	h.cancel(errLinksLost)
}

// mayMove reports whether a further attempt at another target is allowed.
func (h *handover) mayMove(suspects []route.Ref) bool {
	q := h.run
	n := q.node
	return len(h.refused) < maxHandoverRefusals && h.attempts+h.ran < q.route.MaxAttempts &&
		n.view().hasOther(q.service, h.tried, suspects) && n.retries.available(n.clock.Now(), q.name)
}

// perform runs a search. If a target takes the request over, it ends the current attempt.
func (h *handover) perform(ctx context.Context, s *search) {
	next, err := h.find(ctx, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(s.done)
	h.search = nil
	switch {
	case err == nil && ctx.Err() == nil && !h.ended:
		h.next = next
		h.cancel(s.cause)
		return
	case err == nil:
		h.ran++
		h.run.losses.recordLoss(ctx, next.target, 0, context.Cause(ctx))
		next.abandon()
	case ctx.Err() == nil:
		h.logFailure(s, err)
	}
	s.cancel(nil)
	h.notBefore = h.run.node.clock.Now() + handoverInterval
}

// logFailure logs the first search of an attempt that failed.
func (h *handover) logFailure(s *search, err error) {
	if h.logged {
		return
	}
	h.logged = true
	event.Log(h.run.node.log, event.HandoverFailed, requestAttr(h.run.call.ID), slog.String("target", h.target.candidate.Ref.String()),
		slog.String("route", h.run.route.Name), slog.String("reason", s.cause.Error()), codeAttr(err))
}

// progress records the arrival of an event with data, the given number of this attempt. A
// search that was started because of silence ends, since the target works.
func (h *handover) progress(now sardine.Millis, events int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastAt, h.events = now, events
	if h.search != nil && !errors.Is(h.search.cause, errGroupLost) {
		h.search.cancel(errHandoverObsolete)
	}
}

// expect sets when the stream is silent if no event with data arrives before, 0 for never,
// and returns the instant that was set before.
func (h *handover) expect(moveAt sardine.Millis) (before sardine.Millis) {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.moveAt = h.moveAt, moveAt
	return before
}

// proceed asks to forward a part of the current target's answer, up to the given
// position. It fails with errHandedOver if another target has taken the request over.
func (h *handover) proceed(position proxy.Sequence) error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next != nil {
		return errHandedOver
	}
	h.position, h.settled = position, !position.MayResume()
	if h.search != nil && h.settled {
		h.search.cancel(errHandoverObsolete)
	}
	return nil
}

// errHandoverObsolete cancels a search because the current target answers.
var errHandoverObsolete = codes.New(codes.TargetFailed, "the target answers")

// complete ends the handover of a request that needs no other target any more.
func (h *handover) complete(cause error) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.search != nil {
		h.search.cancel(cause)
	}
	if h.next != nil {
		h.next.abandon()
	}
}

// await waits for a search that is running, at most until the given instant. It returns
// false if the search still runs then.
func (h *handover) await(until sardine.Millis) bool {
	n := h.run.node
	for {
		h.mu.Lock()
		running := h.search
		h.ended = h.ended || running == nil
		h.mu.Unlock()
		if running == nil {
			return true
		}
		select {
		case <-running.done:
		case <-n.clock.After(max(until-n.clock.Now(), 0)):
			return false
		}
	}
}

// spent returns the targets that may not be tried again, given those of the earlier
// attempts, and the number of further targets that may have run the request. While a
// search goes on, its target may still take the request over.
func (h *handover) spent(earlier []route.Ref) (tried []route.Ref, ran int) {
	if h == nil {
		return earlier, 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search != nil || h.next != nil {
		return earlier, 0
	}
	return slices.Concat(h.tried, h.refused), h.ran
}

// takeover returns the target that takes over the request after an attempt that failed
// with err, nil if there is none or nobody waits for the answer any more.
func (q *routedRun) takeover(err error) *successor {
	h := q.handover
	q.handover = nil
	if h == nil {
		return nil
	}
	if errors.Is(err, errCallerLeft) {
		h.complete(nil)
		return nil
	}
	if now := q.node.clock.Now(); now >= q.deadline || !h.await(q.deadline) {
		h.complete(errDeadline)
		h.await(now + searchEnd)
		return nil
	}
	q.tried = h.tried
	q.attempts += h.ran
	q.retryTaken = h.retryTaken && h.next == nil
	return h.next
}
