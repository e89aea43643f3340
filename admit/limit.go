package admit

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// Parameters of the adaptive limit.
const (
	window        = 500 * sardine.Millis(1) // one adjustment each
	decrease      = 0.9                     // factor after a window with queueing
	startIncrease = 1.25                    // factor until the first queueing
	overDecrease  = 0.7                     // factor after a window with refusals of targets
	baselineRise  = 1.02                    // factor a window on the unloaded time where it is forgotten
	unloaded      = 0.3                     // in flight over the limit up to which load is not the reason for a latency
	futileFalls   = 20                      // falls in a row after which load is not the reason either
	drained       = 1.05                    // in flight over the limit that counts as reached
	maxPressure   = 4.0                     // requests waiting at each target that are taken as queueing
	reportedSlack = 6.0                     // further rise of latency that counts where targets report
	minSamples    = 4
	latencyGain   = 0.2
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
	used       bool    // the limit was reached in this window
	congested  bool    // it has fallen before
	falls      int     // falls of the limit in a row
	reported   bool    // the targets report their queues
	pressure   float64 // requests that wait at each target
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
func (l *limiter) adjust(now sardine.Millis, inFlight int) {
	if now-l.since < window {
		return
	}
	if l.samples < minSamples && l.overloaded == 0 {
		return
	}
	l.move(inFlight)
	l.since = now
	l.sum = 0
	l.samples = 0
	l.overloaded = 0
	l.used = false
}

// move does not lower the limit while more are in flight than it allows: those
// admitted before take seconds to end, and until then each window would lower
// it again.
func (l *limiter) move(inFlight int) {
	if l.overloaded > l.samples/10 {
		l.set(l.limit * overDecrease)
		return
	}
	l.learn(l.sum/float64(max(l.samples, 1)), inFlight)
	bound := l.baseline * l.tolerance
	late := l.latency > bound
	if l.reported {
		late = l.pressure > maxPressure || l.latency > bound*reportedSlack
	}
	switch {
	case late && float64(inFlight) > l.limit*drained:
	case late:
		l.set(l.limit * decrease)
		l.congested = true
		l.falls++
		return
	case l.used && !l.congested:
		l.set(l.limit * startIncrease)
	case l.used:
		l.set(l.limit + math.Sqrt(l.limit))
	}
	l.falls = 0
}

// learn follows the latency. The unloaded latency is its minimum, forgotten only
// where load can't be the reason that it is passed: while the limit is far from
// used, or when lowering the limit again and again changed nothing.
func (l *limiter) learn(mean float64, inFlight int) {
	if l.baseline == 0 {
		l.baseline = mean
		l.latency = mean
	}
	l.latency += latencyGain * (mean - l.latency)
	if l.falls >= futileFalls || float64(inFlight) < l.limit*unloaded {
		l.baseline *= baselineRise
	}
	l.baseline = min(l.baseline, l.latency)
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, l.smallest), l.largest)
}
