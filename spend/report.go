package spend

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Window is a service's window with most repeats, over all nodes.
type Window struct {
	service string
	end     sardine.Millis
	firsts  int
	repeats int
	denied  int
	nodes   int
}

// Service returns the service.
func (w Window) Service() string { return w.service }

// End returns when the window ends, in Unix milliseconds.
func (w Window) End() sardine.Millis { return w.end }

// Requests returns the callers' requests that the lines tell of.
func (w Window) Requests() int { return w.firsts }

// Retries returns the requests that were sent again.
func (w Window) Retries() int { return w.repeats }

// Denied returns how often the bound forbade to send one again.
func (w Window) Denied() int { return w.denied }

// Nodes returns how many nodes sent or were denied repeats.
func (w Window) Nodes() int { return w.nodes }

// Report tells the window with most repeats of each service.
type Report struct {
	windows []Window
}

// NewReport adds up what a reader has read, over windows of the length.
func NewReport(r *Reader, length sardine.Millis) *Report {
	byService := make(map[string][]second)
	for _, s := range r.seconds {
		byService[s.service] = append(byService[s.service], s)
	}
	report := &Report{}
	for service, all := range byService {
		slices.SortStableFunc(all, func(a, b second) int { return cmp.Compare(a.at, b.at) })
		report.windows = append(report.windows, worst(service, all, length))
	}
	slices.SortFunc(report.windows, func(a, b Window) int { return cmp.Compare(a.service, b.service) })
	return report
}

// Services returns a window for each service, ordered by name.
func (r *Report) Services() []Window {
	return r.windows
}

// worst slides a window over a service's seconds, oldest first.
func worst(service string, all []second, length sardine.Millis) Window {
	most, now, first := Window{}, Window{service: service}, 0
	for i, s := range all {
		now.add(s, 1)
		for all[first].at <= s.at-length {
			now.add(all[first], -1)
			first++
		}
		if now.repeats > most.repeats || most.service == "" {
			now.end = s.at
			now.nodes = nodesOf(all[first : i+1])
			most = now
		}
	}
	return most
}

func (w *Window) add(s second, sign int) {
	w.firsts += sign * s.firsts
	w.repeats += sign * s.repeats
	w.denied += sign * s.denied
}

func nodesOf(all []second) int {
	names := make(map[string]bool)
	for _, s := range all {
		names[s.node] = true
	}
	return len(names)
}
