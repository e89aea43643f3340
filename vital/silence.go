package vital

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// limitFactor is the ratio of the silence limit to the usual silence.
	limitFactor = 2.0
	// stepFactor is the ratio of the limit between two events to the engine's
	// longest iteration by its layout. It is lower than limitFactor as those times
	// are exact up to network delays.
	stepFactor = 1.5
	// initialShare is the fraction of a limit that is the initial estimate of
	// the usual silence.
	initialShare = 0.25
	// firstEventIterations is how many of the longest iterations a first event may need:
	// one may already be running, one prefills the prompt and one decodes.
	firstEventIterations = 3.0
)

// SilenceLimits holds the silence limits of one deployment, learned from the usual
// silences of its targets.
type SilenceLimits struct {
	limits    Limits
	iteration sardine.Millis // longest of an engine by the layout, 0 if unknown
	gaps      quantile       // milliseconds between two events of a stream
	firsts    quantile       // milliseconds to a stream's first event
	answers   quantile       // milliseconds to the response of a plain target
}

// newSilenceLimits returns SilenceLimits whose initial estimates are well within the limits.
func newSilenceLimits(l Limits) *SilenceLimits {
	return &SilenceLimits{
		limits:  l,
		gaps:    quantile{value: initialShare * float64(l.Running)},
		firsts:  quantile{value: initialShare * float64(l.Waiting)},
		answers: quantile{value: initialShare * float64(l.Plain)},
	}
}

// SetIterationTime sets the longest iteration time of the deployment's engines.
func (k *SilenceLimits) SetIterationTime(longest sardine.Millis) {
	k.iteration = longest
}

// streamLimit returns how long an engine with a stream in progress may be
// silent.
func (k *SilenceLimits) streamLimit() sardine.Millis {
	return max(k.limits.Running, k.gaps.scaled(limitFactor), sardine.Millis(stepFactor*float64(k.iteration)))
}

// firstEventLimit returns how long an engine may be silent that has started no
// stream.
func (k *SilenceLimits) firstEventLimit() sardine.Millis {
	return max(k.limits.Waiting, k.firsts.scaled(limitFactor), sardine.Millis(firstEventIterations*float64(k.iteration)))
}

// answerLimit returns how long a plain target may be silent.
func (k *SilenceLimits) answerLimit() sardine.Millis {
	return max(k.limits.Plain, k.answers.scaled(limitFactor))
}

// overrun records a silence above its limit, once for each request that it
// affects. If most targets exceed the limit, the limit was too low.
func (k *SilenceLimits) overrun(r *record, silence sardine.Millis) {
	for range r.streams {
		k.gaps.observe(silence)
	}
	for range r.waiting() - r.streams {
		k.firsts.observe(silence)
		k.answers.observe(silence)
	}
}

const (
	// quantileLevel is the quantile that counts as usual. It leaves out the few
	// targets that stall.
	quantileLevel = 0.95
	// quantileGain is the relative change by one observation above the
	// estimate.
	quantileGain = 0.05
)

// quantile is a running estimate of the quantileLevel quantile.
type quantile struct {
	value float64
}

// observe adds an observation.
func (q *quantile) observe(v sardine.Millis) {
	if float64(v) > q.value {
		q.value *= 1 + quantileGain*quantileLevel
		return
	}
	q.value = max(q.value*(1-quantileGain*(1-quantileLevel)), 1)
}

func (q *quantile) scaled(factor float64) sardine.Millis {
	return sardine.Millis(factor * q.value)
}
