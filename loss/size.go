package loss

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
)

// SizeClass counts the outcomes of a route's requests of a class of sizes. Only a sample
// of the served requests is logged, so the numbers are estimates.
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

// Name returns the name of the size class.
func (p SizeClass) Name() string {
	return p.name
}

// Requests returns the number of requests, whatever their outcome.
func (p SizeClass) Requests() float64 {
	return p.inTime + p.late + p.refused + p.failed + p.left
}

// InTime returns the number of requests answered in time.
func (p SizeClass) InTime() float64 {
	return p.inTime
}

// Late returns the number of requests answered in full, but late.
func (p SizeClass) Late() float64 {
	return p.late
}

// Refused returns the number of requests refused without being sent to a target.
func (p SizeClass) Refused() float64 {
	return p.refused
}

// Failed returns the number of requests that failed.
func (p SizeClass) Failed() float64 {
	return p.failed
}

// Left returns the number of requests whose callers left before the end.
func (p SizeClass) Left() float64 {
	return p.left
}

// Served returns the share of requests that were answered in full.
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

// weight returns the number of requests that the log line stands for.
func (r Record) weight() float64 {
	return max(r.of, 1)
}

// size returns the request's size as sardine.SizeOf defines it, 0 if it is not
// known.
func (r Record) size() int {
	return sardine.SizeOf(r.prompt, r.answer)
}

// sizeClasses are the classes of requests by size, each with the share of the
// route's requests that are smaller than its own.
var sizeClasses = []struct {
	name  string
	below float64
}{
	{"all", 0},
	{"largest tenth", 0.9},
	{"fifth below", 0.7},
	{"rest", 0},
}

// BySize counts the requests whose size is known by route and size class, ordered by
// route name.
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
		all = append(all, countClasses(name, routes[name])...)
	}
	return all
}

// countClasses counts the records of one route by size class.
func countClasses(route string, records []Record) []SizeClass {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.size(), b.size()) })
	total := 0.0
	for _, r := range records {
		total += r.weight()
	}
	all := make([]SizeClass, len(sizeClasses))
	for i, c := range sizeClasses {
		all[i] = SizeClass{route: route, name: c.name}
	}
	below := 0.0
	for _, r := range records {
		all[0].count(r)
		for i := range sizeClasses[1:] {
			if below >= sizeClasses[i+1].below*total {
				all[i+1].count(r)
				break
			}
		}
		below += r.weight()
	}
	return all
}
