package place

import "sync"

// quantileStep is by how much of itself an estimate changes with a value at most.
const quantileStep = 0.02

// quantiles estimate the value below which a share of all values lies, by name, from
// values that come one by one. They follow the load, and are safe for concurrent use.
type quantiles struct {
	share float64

	mu  sync.Mutex
	all map[string]float64
}

func newQuantiles(share float64) *quantiles {
	return &quantiles{share: share, all: make(map[string]float64)}
}

// take takes a value in and returns the estimate before it, the value itself if it is
// the first.
func (q *quantiles) take(name string, value float64) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, known := q.all[name]
	switch {
	case !known:
		q.all[name] = value
		return value
	case value < now:
		q.all[name] = max(now-(1-q.share)*quantileStep*now, value)
	default:
		q.all[name] = min(now+q.share*quantileStep*now, value)
	}
	return now
}

// keep forgets all names but these.
func (q *quantiles) keep(names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := make(map[string]float64, len(names))
	for _, name := range names {
		if value, known := q.all[name]; known {
			kept[name] = value
		}
	}
	q.all = kept
}
