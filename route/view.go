package route

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// TargetView is the router's state of one target, for debug output.
type TargetView struct {
	Ref      Ref
	Service  sardine.ServiceName
	InFlight int // own requests
	Reported sardine.Load
	Age      sardine.Millis // of the report
	Slowness float64        // observed time over expected time
	Lag      float64        // usual token rate over this target's reported rate, at least 1
	Leaving  bool
	Ejected  bool
}

// View returns all targets, by service and by hash within a service.
func (r *Router) View(now sardine.Millis) []TargetView {
	var views []TargetView
	for _, name := range r.serviceNames() {
		for _, t := range r.services[name].targets {
			views = append(views, TargetView{
				Ref: t.candidate.Ref, Service: name, InFlight: t.inFlight, Reported: t.load, Age: now - t.loadAt,
				Slowness: t.slowness, Lag: t.lag, Leaving: t.candidate.Leaving, Ejected: t.outlier.ejected(now),
			})
		}
	}
	return views
}

// Pressure returns the mean number of requests queued at each target of the
// service, by load reports not older than maxAge. ok is false without such
// reports.
func (r *Router) Pressure(now sardine.Millis, name sardine.ServiceName, maxAge sardine.Millis) (queued float64, ok bool) {
	s := r.services[name]
	if s == nil {
		return 0, false
	}
	total, reports := 0, 0
	for _, t := range s.targets {
		if t.loadAt > 0 && now-t.loadAt <= maxAge && !t.candidate.Leaving {
			total += t.load.Queued
			reports++
		}
	}
	return float64(total) / float64(max(reports, 1)), reports > 0
}

func (r *Router) serviceNames() []sardine.ServiceName {
	names := make([]sardine.ServiceName, 0, len(r.services))
	for name := range r.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
