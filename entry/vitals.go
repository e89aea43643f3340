package entry

import (
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/vital"
)

// vitals lets the request handlers take turns at the tracker of targets' life.
type vitals struct {
	clock sardine.Clock

	mu      sync.Mutex
	tracker *vital.Tracker
}

func newVitals(clock sardine.Clock) *vitals {
	return &vitals{clock: clock, tracker: vital.New(vital.DefaultLimits())}
}

func (v *vitals) begin(c route.Candidate) *vital.Flight {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Begin(v.clock.Now(), c.Ref, c.Service)
}

// gap returns the longest pause between events that a deployment's work explains.
func (v *vitals) gap(service sardine.ServiceName) sardine.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Gap(service)
}

// setPass tells the longest pass of a deployment's engines.
func (v *vitals) setPass(service sardine.ServiceName, longest sardine.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Kind(service).SetPass(longest)
}

func (v *vitals) progress(f *vital.Flight, stream bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Progress(v.clock.Now(), f, stream)
}

func (v *vitals) end(f *vital.Flight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.End(f)
}

func (v *vitals) unreachable(ref route.Ref) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Unreachable(v.clock.Now(), ref)
}

func (v *vitals) suspects() []route.Ref {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Suspects(v.clock.Now())
}

func (v *vitals) stalled() []route.Ref {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Stalled(v.clock.Now())
}

func (v *vitals) signs() []vital.Sign {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Signs(v.clock.Now())
}

// tickVitals breaks off what waits for targets that stand still, so that it goes
// on elsewhere.
func (n *Node) tickVitals() {
	all := n.vitals.stalled()
	for _, ref := range all {
		event.Log(n.log, event.TargetStalled, slog.String("target", ref.String()))
		n.meter.stalled()
		n.flights.stall(ref)
	}
	if len(all) == 0 {
		return
	}
	select {
	case n.stalls <- struct{}{}: // the leader is told at once
	default:
	}
}
