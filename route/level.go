package route

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// levelGain is by how much the chance of a target rises for each batch of
	// requests that it has fewer than the mean. Reports are some hundred milliseconds
	// old: a greater gain would send it more than it can read by the next one.
	levelGain = 1.0
	// readingGain is by how much it rises for each usual prompt that this node has
	// given it less than the mean lately.
	readingGain = 0.5
	// leastChance and mostChance bound a target's chance, relative to an equal share.
	leastChance = 0.01
	mostChance  = 2.0
)

// level draws a target, one with less to do than the mean with a greater chance.
// Where many nodes hold the same reports, the least loaded target of each of them
// would get far more prompts than it can read at once, and every stream there would
// pause.
func (r *Router) level(now sardine.Millis, s *service, e Engine) *target {
	requests, reading := 0.0, 0.0
	for _, t := range r.usable {
		requests += t.requests()
		reading += t.readingNow(now)
	}
	count := float64(len(r.usable))
	slots := float64(e.Slots)
	usual := max(s.meanPrefill/1000*e.Read, 1)
	r.chances = r.chances[:0]
	total := 0.0
	for _, t := range r.usable {
		chance := 1 + levelGain*(requests/count-t.requests())/slots + readingGain*(reading/count-t.readingNow(now))/usual
		chance = min(max(chance, leastChance), mostChance)
		r.chances = append(r.chances, chance)
		total += chance
	}
	drawn := r.random.Float64() * total
	for i, chance := range r.chances {
		if drawn -= chance; drawn < 0 {
			return r.usable[i]
		}
	}
	return r.usable[len(r.usable)-1]
}
