package loss

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
)

// SizeClass is a part of a route's requests by size. Served requests are logged in part,
// so that the numbers are estimates.
type SizeClass struct {
	route   string
	name    string
	inTime  float64
	late    float64
	refused float64
	failed  float64
	left    float64
}

// Route returns the route's name.
func (p SizeClass) Route() string {
	return p.route
}

// Name tells which part it is.
func (p SizeClass) Name() string {
	return p.name
}

// Requests returns the number of requests.
func (p SizeClass) Requests() float64 {
	return p.inTime + p.late + p.refused + p.failed + p.left
}

// InTime returns how many were answered in time.
func (p SizeClass) InTime() float64 {
	return p.inTime
}

// Late returns how many were answered in full, but late.
func (p SizeClass) Late() float64 {
	return p.late
}

// Refused returns how many no target got.
func (p SizeClass) Refused() float64 {
	return p.refused
}

// Failed returns how many were given up.
func (p SizeClass) Failed() float64 {
	return p.failed
}

// Left returns how many callers left.
func (p SizeClass) Left() float64 {
	return p.left
}

// Served returns the share that was answered in full.
func (p SizeClass) Served() float64 {
	return (p.inTime + p.late) / max(p.Requests(), 1)
}

func (p *SizeClass) count(r Record) {
	switch r.event {
	case event.RequestServed:
		p.inTime += r.weight()
	case event.RequestLate:
		p.late++
	case event.RequestRefused:
		p.refused++
	case event.RequestLeft:
		p.left++
	default:
		p.failed++
	}
}

// weight returns how many requests the line stands for.
func (r Record) weight() float64 {
	return max(r.of, 1)
}

// size returns the request's size, 0 if it is not known.
func (r Record) size() int {
	return sardine.SizeOf(r.prompt, r.answer)
}

// parts are the parts by size, each with the share of requests that are smaller.
var parts = []struct {
	name  string
	below float64
}{
	{"all", 0},
	{"largest tenth", 0.9},
	{"fifth below", 0.7},
	{"rest", 0},
}

// BySize counts the requests of each route that tell their size, the routes by name.
func BySize(lost, served []Record) []SizeClass {
	routes := make(map[string][]Record)
	for _, r := range slices.Concat(lost, served) {
		if r.size() > 0 && r.route != "" {
			routes[r.route] = append(routes[r.route], r)
		}
	}
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	var all []SizeClass
	for _, name := range names {
		all = append(all, partsOf(name, routes[name])...)
	}
	return all
}

func partsOf(route string, records []Record) []SizeClass {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.size(), b.size()) })
	total := 0.0
	for _, r := range records {
		total += r.weight()
	}
	all := make([]SizeClass, len(parts))
	for i, p := range parts {
		all[i] = SizeClass{route: route, name: p.name}
	}
	below := 0.0
	for _, r := range records {
		all[0].count(r)
		for i := range parts[1:] {
			if below >= parts[i+1].below*total {
				all[i+1].count(r)
				break
			}
		}
		below += r.weight()
	}
	return all
}
