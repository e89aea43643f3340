package spend

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Window is the time window in which all nodes together sent most retries for a
// service.
type Window struct {
	service  string
	end      sardine.Millis
	requests int // of callers
	retries  int
	denied   int // retries that the limit forbade
	nodes    int
}

// Service returns the service.
func (w Window) Service() string { return w.service }

// End returns when the window ends, in Unix milliseconds.
func (w Window) End() sardine.Millis { return w.end }

// Requests returns the number of callers' requests in the log lines, a lower bound.
func (w Window) Requests() int { return w.requests }

// Retries returns the number of retries that were sent.
func (w Window) Retries() int { return w.retries }

// Denied returns the number of retries that the limit forbade.
func (w Window) Denied() int { return w.denied }

// Nodes returns the number of nodes with log lines in the window.
func (w Window) Nodes() int { return w.nodes }

// Report holds the window with most retries of each service.
type Report struct {
	windows []Window
}

// NewReport sums the lines that a reader has read over windows of the length.
func NewReport(r *Reader, length sardine.Millis) *Report {
	byService := make(map[string][]second)
	for _, s := range r.seconds {
		byService[s.service] = append(byService[s.service], s)
	}
	report := &Report{}
	for service, all := range byService {
		slices.SortStableFunc(all, func(a, b second) int { return cmp.Compare(a.at, b.at) })
		report.windows = append(report.windows, busiestWindow(service, all, length))
	}
	slices.SortFunc(report.windows, func(a, b Window) int { return cmp.Compare(a.service, b.service) })
	return report
}

// Services returns a window for each service, ordered by service name.
func (r *Report) Services() []Window {
	return r.windows
}

// busiestWindow returns the window with most retries, the earliest of equal ones. all
// holds a service's seconds in order of time.
func busiestWindow(service string, all []second, length sardine.Millis) Window {
	busiest, current, oldest := Window{}, Window{service: service}, 0
	for i, s := range all {
		current.add(s, 1)
		for all[oldest].at <= s.at-length {
			current.add(all[oldest], -1)
			oldest++
		}
		if current.retries > busiest.retries || busiest.service == "" {
			current.end = s.at
			current.nodes = nodesOf(all[oldest : i+1])
			busiest = current
		}
	}
	return busiest
}

// add adds a second's counts with sign 1 and subtracts them with sign -1.
func (w *Window) add(s second, sign int) {
	w.requests += sign * s.requests
	w.retries += sign * s.retries
	w.denied += sign * s.denied
}

// nodesOf returns the number of different nodes.
func nodesOf(all []second) int {
	names := make(map[string]bool)
	for _, s := range all {
		names[s.node] = true
	}
	return len(names)
}
