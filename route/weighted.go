package route

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// loadGain is how much a target's weight rises for each batch of requests
	// that it has below the mean. Load reports are some hundred milliseconds
	// old: a greater gain would send a target more than it can prefill before
	// the next report.
	loadGain = 1.0
	// prefillGain is how much the weight rises for each mean prompt that this
	// node recently sent to the target below the mean of all targets.
	prefillGain = 0.5
	// minWeight and maxWeight bound a target's weight, relative to an equal
	// share.
	minWeight = 0.01
	maxWeight = 2.0
)

// weightedRandom picks a random target, weighting those with less load than
// the mean higher. If many nodes picked the least loaded target by the same
// reports, it would get far more prompts than it can prefill at once, and
// every stream on it would pause.
func (r *Router) weightedRandom(now sardine.Millis, s *service, e Engine) *target {
	requests, recentPrefill := 0.0, 0.0
	for _, t := range r.usable {
		requests += t.requests()
		recentPrefill += t.prefillLoad(now)
	}
	count := float64(len(r.usable))
	slots := float64(e.Slots)
	meanPrefillTime := max(s.meanPrefill/1000*e.PrefillPer1K, 1)
	r.weights = r.weights[:0]
	total := 0.0
	for _, t := range r.usable {
		weight := 1 + loadGain*(requests/count-t.requests())/slots + prefillGain*(recentPrefill/count-t.prefillLoad(now))/meanPrefillTime
		weight = min(max(weight, minWeight), maxWeight)
		r.weights = append(r.weights, weight)
		total += weight
	}
	drawn := r.random.Float64() * total
	for i, weight := range r.weights {
		if drawn -= weight; drawn < 0 {
			return r.usable[i]
		}
	}
	return r.usable[len(r.usable)-1]
}
