package place

import "sync"

// quantileStep bounds the relative change of an estimate per value.
const quantileStep = 0.02

// quantiles estimates, by name, the value below which a share of all values
// lies, from one value at a time. The estimates adapt to changes. It is safe
// for concurrent use.
type quantiles struct {
	share float64

	mu  sync.Mutex
	all map[string]float64
}

func newQuantiles(share float64) *quantiles {
	return &quantiles{share: share, all: make(map[string]float64)}
}

// observe adds a value and returns the estimate before it, or the value
// itself if it is the first.
func (q *quantiles) observe(name string, value float64) float64 {
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

// retain removes the estimates of all other names.
func (q *quantiles) retain(names []string) {
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
