package entry

import (
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/vital"
)

// healthTracker serializes the request handlers' access to the tracker of
// target health.
type healthTracker struct {
	clock sardine.Clock

	mu      sync.Mutex
	tracker *vital.Tracker
}

func newHealthTracker(clock sardine.Clock) *healthTracker {
	return &healthTracker{clock: clock, tracker: vital.New(vital.DefaultLimits())}
}

func (v *healthTracker) begin(c route.Candidate) *vital.TrackedRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Begin(v.clock.Now(), c.Ref, c.Service)
}

// gap returns the longest pause between events that is normal for a deployment.
func (v *healthTracker) gap(service sardine.ServiceName) sardine.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.MaxEventGap(service)
}

// setIterationTime sets the duration of the longest engine iteration of a deployment.
func (v *healthTracker) setIterationTime(service sardine.ServiceName, longest sardine.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.SilenceLimits(service).SetIterationTime(longest)
}

func (v *healthTracker) progress(f *vital.TrackedRequest, stream bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Progress(v.clock.Now(), f, stream)
}

func (v *healthTracker) end(f *vital.TrackedRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.End(f)
}

// suspend records that a request does not wait for its target. It may be nil, for one at
// another entry node.
func (v *healthTracker) suspend(f *vital.TrackedRequest) {
	if f == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Suspend(f)
}

// resume ends suspend.
func (v *healthTracker) resume(f *vital.TrackedRequest) {
	if f == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Resume(v.clock.Now(), f)
}

func (v *healthTracker) unreachable(ref route.Ref) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Unreachable(v.clock.Now(), ref)
}

func (v *healthTracker) suspects() []route.Ref {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Suspects(v.clock.Now())
}

// stalled returns the targets that have stalled. Unless learn is set, their silences do not
// change what is usual.
func (v *healthTracker) stalled(learn bool) []route.Ref {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.SetLearning(learn)
	return v.tracker.Stalled(v.clock.Now())
}

// silent returns the number of targets that have been silent for the given time.
func (v *healthTracker) silent(limit sardine.Millis) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Silent(v.clock.Now(), limit)
}

// forgive removes the suspicions of all targets.
func (v *healthTracker) forgive() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Forgive(v.clock.Now())
}

func (v *healthTracker) observations() []vital.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Observations(v.clock.Now())
}

// suspects returns the targets that are suspected to have stalled.
func (n *Node) suspects() []route.Ref {
	if n.health == nil {
		return nil
	}
	return n.health.suspects()
}

// checkStalls makes the requests leave the targets that have stalled.
func (n *Node) checkStalls() {
	stalled := n.health.stalled(n.linksTrusted())
	for _, ref := range stalled {
		event.Log(n.log, event.TargetStalled, slog.String("target", ref.String()))
		n.meter.stalled()
	}
	n.inFlight.leaveSilent(n.clock.Now(), stalled, n.health.suspects())
	if len(stalled) == 0 {
		return
	}
	n.links.stalled(stalled)
	select {
	case n.stallNotice <- struct{}{}: // report to the leader at once
	default:
	}
}
