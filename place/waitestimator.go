package place

import (
	sardine "sardineswitch.dev/sardine"
)

// returningShare is the largest share of a route's callers that are taken to
// have waited elsewhere before. Callers of one route allow different times,
// so only the shortest remaining times indicate an earlier wait.
const returningShare = 0.1

// WaitEstimator estimates for each route the least time that callers allow on
// their first attempt. A caller with less time left has been refused before
// or has waited elsewhere. It is safe for concurrent use.
type WaitEstimator struct {
	least *quantiles // milliseconds left, by route
}

// NewWaitEstimator returns an estimator without observations.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{least: newQuantiles(returningShare)}
}

// Waited returns the least time that a caller has already waited elsewhere,
// estimated from the time it has left, and records that time. It is 0 for a
// caller without a deadline.
func (p *WaitEstimator) Waited(route string, left sardine.Millis) sardine.Millis {
	if left <= 0 {
		return 0
	}
	return max(sardine.Millis(p.least.observe(route, float64(left)))-left, 0)
}

// Retain removes the estimates of routes that are not in the layout.
func (p *WaitEstimator) Retain(l sardine.Layout) {
	p.least.retain(routeNames(l))
}

func routeNames(l sardine.Layout) []string {
	names := make([]string, 0, len(l.Routes))
	for _, r := range l.Routes {
		names = append(names, r.Name)
	}
	return names
}
