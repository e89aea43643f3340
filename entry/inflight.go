package entry

import (
	"context"
	"slices"
	"sync"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// errGroupLost cancels dispatches to a group that lost a member.
var errGroupLost = codes.New(codes.TargetFailed, "the group lost a member")

// errStalled cancels a dispatch whose target has stalled.
var errStalled = codes.New(codes.TargetFailed, "the target stopped responding")

// errDeadline cancels a request whose deadline has passed.
var errDeadline = codes.New(codes.DeadlineTight, "the deadline passed before the answer began")

// errCallerLeft ends a request whose caller does not take its answer.
var errCallerLeft = codes.New(codes.StreamBroken, "the caller disconnected or did not read the answer in time")

// errDrained cancels requests that are still running when the drain time has
// passed.
var errDrained = codes.New(codes.Draining, "the node's drain time has passed")

// inFlight tracks the dispatches in flight, so that those to a lost group are
// canceled at once instead of waiting for an engine that does not respond.
type inFlight struct {
	mu     sync.Mutex
	nextID uint64
	all    map[uint64]*inFlightDispatch
}

type inFlightDispatch struct {
	candidate route.Candidate
	cancel    context.CancelCauseFunc
	request   movable // nil if it always moves
	stalled   bool    // its target has stalled, and it stayed
}

// movable is a request that decides itself whether it moves to another target. Its
// methods are called from any goroutine.
type movable interface {
	// isSettled reports whether the caller has a part of the answer that only the
	// current target can complete.
	isSettled() bool
	// leaves reports whether the request leaves its target, which has stalled.
	leaves(suspects []route.Ref) bool
}

func newInFlight() *inFlight {
	return &inFlight{all: make(map[uint64]*inFlightDispatch)}
}

// begin registers a dispatch of a request, nil for one that always moves. The returned
// function ends it.
func (f *inFlight) begin(ctx context.Context, c route.Candidate, request movable) (context.Context, context.CancelCauseFunc, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.all[id] = &inFlightDispatch{candidate: c, cancel: cancel, request: request}
	return ctx, cancel, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.all, id)
	}
}

// cancelLost cancels the dispatches to groups that are not intact in the view.
func (f *inFlight) cancelLost(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.all {
		if v.lost(d.candidate) && (d.request == nil || !d.request.isSettled()) {
			d.cancel(errGroupLost)
		}
	}
}

// cancelStalled cancels the dispatches to targets that have stalled whose requests leave
// them, now or when a later call finds the target among the suspects still.
func (f *inFlight) cancelStalled(stalled, suspects []route.Ref) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.all {
		if slices.Contains(stalled, d.candidate.Ref) {
			d.stalled = true
		}
		if !d.stalled {
			continue
		}
		d.stalled = slices.Contains(suspects, d.candidate.Ref)
		if d.stalled && (d.request == nil || !d.request.isSettled() && d.request.leaves(suspects)) {
			d.stalled = false
			d.cancel(errStalled)
		}
	}
}

// count returns the number of dispatches in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.all)
}
