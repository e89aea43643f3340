package admit

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// Parameters of the adaptive limit.
const (
	adjustInterval          = 500 * sardine.Millis(1) // least time between two adjustments
	decreaseFactor          = 0.9                     // limit factor after an interval with queueing
	startIncreaseFactor     = 1.25                    // limit factor after an interval that reached the limit, until the first queueing
	overloadDecreaseFactor  = 0.7                     // limit factor after an interval with overload refusals by targets
	baselineRise            = 1.02                    // baseline factor per interval in which load is not the reason for the latency
	unloadedUtilization     = 0.3                     // share of the limit in flight up to which load is not the reason for the latency
	maxFutileDecreases      = 20                      // consecutive decreases after which load is not the reason either
	excessFactor            = 1.05                    // in flight over the limit above which the limit is not decreased
	maxPressure             = 4.0                     // mean number of requests waiting at each target above which they count as queueing
	reportedToleranceFactor = 6.0                     // additional factor on the latency bound where targets report their queues
	minSamples              = 4
	latencyGain             = 0.2
)

// limiter adapts the number of requests that may be in flight. The limit
// grows by its square root per interval while it is reached and first tokens
// are as fast as without load, and decreases when they are slow or targets
// refuse requests for overload.
type limiter struct {
	limit         float64
	smallest      float64
	largest       float64
	tolerance     float64
	baseline      float64 // milliseconds to first token without load, 0 before the first interval
	latency       float64 // moving mean of the milliseconds to first token
	intervalStart sardine.Millis
	sum           float64
	samples       int
	overloaded    int
	limitReached  bool    // the limit was reached in this interval
	congested     bool    // the limit has been decreased by queueing before
	decreases     int     // consecutive decreases of the limit
	reported      bool    // the targets report their queues
	pressure      float64 // mean number of requests waiting at each target
}

func newLimiter(o *options) limiter {
	return limiter{limit: o.initial, smallest: o.smallest, largest: o.largest, tolerance: o.tolerance}
}

// observe records the time to first token of an answered request.
func (l *limiter) observe(latency sardine.Millis) {
	l.sum += float64(latency)
	l.samples++
}

// observeOverload records that targets refused a request for overload.
func (l *limiter) observeOverload() {
	l.overloaded++
}

// adjust updates the limit at the end of an interval.
func (l *limiter) adjust(now sardine.Millis, inFlight int) {
	if now-l.intervalStart < adjustInterval {
		return
	}
	if l.samples < minSamples && l.overloaded == 0 {
		return
	}
	l.updateLimit(inFlight)
	l.intervalStart = now
	l.sum = 0
	l.samples = 0
	l.overloaded = 0
	l.limitReached = false
}

// updateLimit does not decrease the limit for queueing while more requests
// are in flight than it allows: those admitted earlier take seconds to end,
// and until then every interval would decrease it again.
func (l *limiter) updateLimit(inFlight int) {
	if l.overloaded > l.samples/10 {
		l.set(l.limit * overloadDecreaseFactor)
		return
	}
	l.updateLatency(l.sum/float64(max(l.samples, 1)), inFlight)
	bound := l.baseline * l.tolerance
	late := l.latency > bound
	if l.reported {
		late = l.pressure > maxPressure || l.latency > bound*reportedToleranceFactor
	}
	switch {
	case late && float64(inFlight) > l.limit*excessFactor:
	case late:
		l.set(l.limit * decreaseFactor)
		l.congested = true
		l.decreases++
		return
	case l.limitReached && !l.congested:
		l.set(l.limit * startIncreaseFactor)
	case l.limitReached:
		l.set(l.limit + math.Sqrt(l.limit))
	}
	l.decreases = 0
}

// updateLatency updates the moving mean and the baseline. The baseline is the
// lowest latency; it rises again only if load cannot be the reason for a
// higher latency: while few requests are in flight, or when repeated
// decreases of the limit had no effect.
func (l *limiter) updateLatency(mean float64, inFlight int) {
	if l.baseline == 0 {
		l.baseline = mean
		l.latency = mean
	}
	l.latency += latencyGain * (mean - l.latency)
	if l.decreases >= maxFutileDecreases || float64(inFlight) < l.limit*unloadedUtilization {
		l.baseline *= baselineRise
	}
	l.baseline = min(l.baseline, l.latency)
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, l.smallest), l.largest)
}
