package place

import (
	sardine "sardineswitch.dev/sardine"
)

// hurriedShare is the part of a route's callers that are taken to have waited
// elsewhere before, at most. Callers of one route differ in how long they wait, so
// that little time left tells something of the last of them only.
const hurriedShare = 0.1

// Patiences knows how long the callers of each route wait at least when they come
// first. One with less time left has been refused before, or has waited elsewhere. It
// is safe for concurrent use.
type Patiences struct {
	least *quantiles // milliseconds by route
}

// NewPatiences returns one that has seen no caller.
func NewPatiences() *Patiences {
	return &Patiences{least: newQuantiles(hurriedShare)}
}

// Waited returns how long a caller has waited at least before it came here, by the
// time that it has left. It is 0 for a caller that does not say.
func (p *Patiences) Waited(route string, left sardine.Millis) sardine.Millis {
	if left <= 0 {
		return 0
	}
	return max(sardine.Millis(p.least.take(route, float64(left)))-left, 0)
}

// Keep forgets the routes that a layout does not have.
func (p *Patiences) Keep(l sardine.Layout) {
	p.least.keep(routesOf(l))
}

func routesOf(l sardine.Layout) []string {
	names := make([]string, 0, len(l.Routes))
	for _, r := range l.Routes {
		names = append(names, r.Name)
	}
	return names
}
