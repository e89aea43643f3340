package admit

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// Parameters of the adaptive limit.
const (
	window       = 500 * sardine.Millis(1) // one adjustment each
	decrease     = 0.9                     // factor after a window with queueing
	overDecrease = 0.7                     // factor after a window with refusals of targets
	baselineRise = 1.002                   // factor a window on the unloaded time, so that it is forgotten
	minSamples   = 4
	latencyGain  = 0.2
)

// limiter is the number of requests that may be in flight. It rises by a square
// root a window while it is used up and first tokens come as fast as without
// load, and falls when they are late or targets refuse.
type limiter struct {
	limit      float64
	smallest   float64
	largest    float64
	tolerance  float64
	baseline   float64 // unloaded milliseconds to first token, 0 before the first window
	latency    float64 // moving mean, milliseconds
	since      sardine.Millis
	sum        float64
	samples    int
	overloaded int
	used       bool // the limit was reached in this window
}

func newLimiter(o *options) limiter {
	return limiter{limit: o.initial, smallest: o.smallest, largest: o.largest, tolerance: o.tolerance}
}

// observe takes the time to first token of an answered request.
func (l *limiter) observe(latency sardine.Millis) {
	l.sum += float64(latency)
	l.samples++
}

// refuse takes a refusal for load.
func (l *limiter) refuse() {
	l.overloaded++
}

// adjust moves the limit at the end of a window.
func (l *limiter) adjust(now sardine.Millis) {
	if now-l.since < window {
		return
	}
	if l.samples < minSamples && l.overloaded == 0 {
		return
	}
	l.move()
	l.since = now
	l.sum = 0
	l.samples = 0
	l.overloaded = 0
	l.used = false
}

func (l *limiter) move() {
	if l.overloaded > l.samples/10 {
		l.set(l.limit * overDecrease)
		return
	}
	mean := l.sum / float64(max(l.samples, 1))
	l.learn(mean)
	switch {
	case mean > l.baseline*l.tolerance:
		l.set(l.limit * max(decrease, math.Sqrt(l.baseline*l.tolerance/mean)))
	case l.used:
		l.set(l.limit + math.Sqrt(l.limit))
	}
}

func (l *limiter) learn(mean float64) {
	if l.baseline == 0 {
		l.baseline = mean
		l.latency = mean
	}
	l.latency += latencyGain * (mean - l.latency)
	l.baseline = min(l.baseline*baselineRise, mean)
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, l.smallest), l.largest)
}
