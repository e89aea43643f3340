package entry

import (
	"context"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// errGroupLost cancels dispatches to a group that lost a member.
var errGroupLost = codes.New(codes.TargetFailed, "the group lost a member")

// errStalled cancels a dispatch whose target has stalled.
var errStalled = codes.New(codes.TargetFailed, "the target stopped responding")

// errSilent cancels a dispatch whose stream has paused for longer than usual.
var errSilent = codes.New(codes.StreamBroken, "the stream paused for too long")

// errDeadline cancels a request whose deadline has passed.
var errDeadline = codes.New(codes.DeadlineTight, "the deadline passed before the answer began")

// errCallerLeft ends a request whose caller does not take its answer.
var errCallerLeft = codes.New(codes.StreamBroken, "the caller disconnected or did not read the answer in time")

// errDrained cancels requests that are still running when the drain time has
// passed.
var errDrained = codes.New(codes.Draining, "the node's drain time has passed")

// inFlight tracks the dispatches in flight, so that requests leave a lost group or a
// silent target instead of waiting for an engine that does not respond.
type inFlight struct {
	mu     sync.Mutex
	nextID uint64
	all    map[uint64]*inFlightDispatch
}

type inFlightDispatch struct {
	candidate route.Candidate
	cancel    context.CancelCauseFunc
	request   movable // nil if it is canceled at once
	stalled   bool    // its target has stalled
	lost      bool    // its group is not intact
}

// cause returns why the request should leave its target, nil if it should stay.
func (d *inFlightDispatch) cause(now sardine.Millis) error {
	switch {
	case d.lost:
		return errGroupLost
	case d.stalled:
		return errStalled
	case d.request != nil && d.request.isSilent(now):
		return errSilent
	default:
		return nil
	}
}

// leave makes the request leave its target, if it should.
func (d *inFlightDispatch) leave(now sardine.Millis, suspects []route.Ref) {
	cause := d.cause(now)
	switch {
	case cause == nil:
	case d.request == nil:
		d.cancel(cause)
	default:
		d.request.leave(now, cause, suspects)
	}
}

// movable is a request that leaves its target only for another one that takes it over.
// Its methods are called from any goroutine.
type movable interface {
	// isSilent reports whether the stream has paused for longer than usual.
	isSilent(now sardine.Millis) bool
	// leave looks for another target, unless it does so already. It does not wait.
	leave(now sardine.Millis, cause error, suspects []route.Ref)
	// evacuate cancels the attempt with errLinksLost if it makes no progress and another
	// entry node may continue the request.
	evacuate(now sardine.Millis)
}

func newInFlight() *inFlight {
	return &inFlight{all: make(map[uint64]*inFlightDispatch)}
}

// begin registers a dispatch that is canceled when its target is lost or has stalled.
// The returned function ends it.
func (f *inFlight) begin(ctx context.Context, c route.Candidate) (context.Context, context.CancelCauseFunc, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := f.add(c, cancel, nil)
	return ctx, cancel, func() {
		cancel(nil)
		end()
	}
}

// add registers a dispatch of a request, nil for one that is canceled at once when it
// should leave its target. The returned function ends it.
func (f *inFlight) add(c route.Candidate, cancel context.CancelCauseFunc, request movable) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.all[id] = &inFlightDispatch{candidate: c, cancel: cancel, request: request}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.all, id)
	}
}

// leaveLost makes the requests leave the groups that are not intact in the view.
func (f *inFlight) leaveLost(now sardine.Millis, v *view, suspects []route.Ref) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.all {
		if d.lost = v.lost(d.candidate); d.lost {
			d.leave(now, suspects)
		}
	}
}

// leaveSilent makes the requests leave the targets that have stalled, now or when a later
// call finds the target among the suspects still, and those whose streams are silent.
// What could not leave a lost group tries so again.
func (f *inFlight) leaveSilent(now sardine.Millis, stalled, suspects []route.Ref) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.all {
		d.stalled = slices.Contains(suspects, d.candidate.Ref) && (d.stalled || slices.Contains(stalled, d.candidate.Ref))
		d.leave(now, suspects)
	}
}

// evacuate makes the requests leave their targets, which this node has lost its links to.
func (f *inFlight) evacuate(now sardine.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.all {
		if d.request != nil {
			d.request.evacuate(now)
		}
	}
}

// count returns the number of dispatches in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.all)
}
