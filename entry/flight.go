package entry

import (
	"context"
	"sync"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// errGroupLost cancels dispatches to a group that lost a member.
var errGroupLost = codes.New(codes.TargetFailed, "the group lost a member")

// errStalled cancels a dispatch whose target has gone silent.
var errStalled = codes.New(codes.TargetFailed, "the target has gone silent")

// errDeadline cancels a request whose deadline has passed.
var errDeadline = codes.New(codes.DeadlineTight, "the deadline passed before the answer began")

// errDrained cancels what is still running when the drain time is over.
var errDrained = codes.New(codes.Draining, "the node's drain time is over")

// flights knows the dispatches in flight, so that those to a lost group end at
// once instead of waiting for a silent engine.
type flights struct {
	mu     sync.Mutex
	nextID uint64
	all    map[uint64]flight
}

type flight struct {
	candidate route.Candidate
	cancel    context.CancelCauseFunc
}

func newFlights() *flights {
	return &flights{all: make(map[uint64]flight)}
}

// begin registers a dispatch. The returned function ends it.
func (f *flights) begin(ctx context.Context, c route.Candidate) (context.Context, context.CancelCauseFunc, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.all[id] = flight{candidate: c, cancel: cancel}
	return ctx, cancel, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.all, id)
	}
}

// lose cancels the dispatches to groups that the view does not hold intact.
func (f *flights) lose(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flying := range f.all {
		if v.lost(flying.candidate) {
			flying.cancel(errGroupLost)
		}
	}
}

// stall cancels the dispatches to a target that stands still.
func (f *flights) stall(ref route.Ref) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flying := range f.all {
		if flying.candidate.Ref == ref {
			flying.cancel(errStalled)
		}
	}
}

// count returns the number of dispatches in flight.
func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.all)
}
