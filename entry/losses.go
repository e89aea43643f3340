package entry

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// losses tracks the attempts of one request whose targets may have crashed
// while they ran it.
type losses struct {
	node     *Node
	request  sardine.RequestID
	service  sardine.ServiceName // deployment
	segments []guard.Segment
	begun    bool // a target has begun to answer
	poison   guard.Fingerprint

	mu  sync.Mutex // a handover records losses, too
	all []lostAttempt
}

// lostAttempt is an attempt that its target did not complete.
type lostAttempt struct {
	check *check
	loss  guard.Loss
}

// allow returns nil if the request may be sent to a target, for the first time
// or again.
func (l *losses) allow() error {
	return l.node.strikes.allow(l.poison, l.failures()...)
}

// failures returns the targets that are known to have exited while they ran
// this request.
func (l *losses) failures() []state.TargetFailure {
	l.mu.Lock()
	defer l.mu.Unlock()
	var failures []state.TargetFailure
	for _, one := range l.all {
		if l.node.checks.hasExited(one.check) {
			failures = append(failures, one.loss.Failure)
		}
	}
	return failures
}

// recordLoss starts a check of the target whose attempt failed with err after the
// given number of events. An attempt whose ctx was canceled by the caller, by its
// deadline or by the node says nothing about the target, but the target may still
// fail for it.
func (l *losses) recordLoss(ctx context.Context, d dispatched, events int, err error) {
	if l.node.isolated() {
		return // the target may have completed it
	}
	loss := l.lossOf(d.candidate, events)
	if !lostByTarget(ctx) {
		if len(l.segments) > 0 && events < guard.ProvenEvents {
			l.node.checks.addAbandoned(d, loss)
		}
		return
	}
	l.add(d, loss, !errors.Is(err, os.ErrDeadlineExceeded))
}

// recordSilence starts a check of a target whose attempt has become silent after the given
// number of events.
func (l *losses) recordSilence(d dispatched, events int) {
	if !l.node.isolated() {
		l.add(d, l.lossOf(d.candidate, events), false)
	}
}

// add starts a check of a target, with a probe or without, and records the loss unless it
// is known.
func (l *losses) add(d dispatched, loss guard.Loss, probe bool) {
	k := l.node.checks.begin(d, probe)
	l.mu.Lock()
	known := slices.ContainsFunc(l.all, func(o lostAttempt) bool { return o.check == k })
	if !known {
		l.all = append(l.all, lostAttempt{check: k, loss: loss})
	}
	l.mu.Unlock()
	if !known && len(l.segments) > 0 {
		l.node.checks.addSuspect(k, loss)
	}
}

// lossOf returns the loss of an attempt that ended now.
func (l *losses) lossOf(c route.Candidate, events int) guard.Loss {
	return guard.Loss{
		Request: l.request, Service: l.service, Segments: l.segments, Events: events,
		Fingerprint: l.poison, Failure: state.TargetFailure(c.Ref), At: l.node.clock.Now(),
	}
}

// failed counts the targets that exited, or are found to have exited later,
// against the request, since it did not complete on another one.
func (l *losses) failed() {
	for _, one := range l.clear() {
		l.node.checks.addLoss(one.check, one.loss)
	}
}

// clear removes and returns all losses.
func (l *losses) clear() []lostAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all
	l.all = nil
	return all
}

// survived records that the request has completed.
func (l *losses) survived() {
	l.clear()
	l.node.strikes.survived(l.poison)
	l.began()
}

// began records that a target has begun to answer the request.
func (l *losses) began() {
	if !l.begun {
		l.begun = true
		l.node.strikes.segmentsProven(l.service, l.segments)
	}
}

// settle waits for the check of the last lost target if a segment may have made it
// fail: the request would otherwise be sent to another one at once.
func (l *losses) settle(ctx context.Context) {
	l.mu.Lock()
	if len(l.all) == 0 {
		l.mu.Unlock()
		return
	}
	last := l.all[len(l.all)-1]
	l.mu.Unlock()
	if last.loss.Events < guard.ProvenEvents && l.node.strikes.hasSuspects(l.service, l.segments) {
		l.node.checks.settle(ctx, last.check)
	}
}

// lostByTarget reports whether an attempt with this context was ended by its
// target, not by the caller, the deadline or the node.
func lostByTarget(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, errStalled) || errors.Is(cause, errSilent) || errors.Is(cause, errGroupLost)
}
