package vital

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// patienceFactor is how many times as long a silence may last as what is usual.
	patienceFactor = 2.0
	// passFactor is how many times as long a silence may last as the longest pass of
	// an engine by its layout, whose times are exact up to the network's delays.
	passFactor = 1.5
	// startShare is the part of a limit that is assumed to be usual at first.
	startShare = 0.25
	// firstPasses is how many of the longest passes a first event may take: one may
	// be under way, one reads the prompt and one writes.
	firstPasses = 3.0
)

// Kind is what is known of the silences of sound targets of one deployment.
type Kind struct {
	limits  Limits
	pass    sardine.Millis // the longest of an engine by the layout, 0 if not known
	gaps    quantile       // milliseconds between two events of a stream
	firsts  quantile       // milliseconds to a stream's first event
	answers quantile       // milliseconds to a plain answer
}

// newKind returns a kind whose silences are well within the limits.
func newKind(l Limits) *Kind {
	return &Kind{
		limits:  l,
		gaps:    quantile{value: startShare * float64(l.Running)},
		firsts:  quantile{value: startShare * float64(l.Waiting)},
		answers: quantile{value: startShare * float64(l.Plain)},
	}
}

// SetPass tells the longest pass of the deployment's engines.
func (k *Kind) SetPass(longest sardine.Millis) {
	k.pass = longest
}

// gap returns how long an engine may be silent that has a stream under way.
func (k *Kind) gap() sardine.Millis {
	return max(k.limits.Running, k.gaps.times(patienceFactor), sardine.Millis(passFactor*float64(k.pass)))
}

// first returns how long an engine may be silent that has begun no stream.
func (k *Kind) first() sardine.Millis {
	return max(k.limits.Waiting, k.firsts.times(patienceFactor), sardine.Millis(firstPasses*float64(k.pass)))
}

// answer returns how long a plain target may be silent.
func (k *Kind) answer() sardine.Millis {
	return max(k.limits.Plain, k.answers.times(patienceFactor))
}

// overrun notes a silence that was longer than expected for all the requests that
// it concerns. Where most targets overrun, what is expected was wrong.
func (k *Kind) overrun(r *record, silence sardine.Millis) {
	for range r.streams {
		k.gaps.observe(silence)
	}
	for range r.flights - r.streams {
		k.firsts.observe(silence)
		k.answers.observe(silence)
	}
}

const (
	// usualShare is the part of all observations that a usual one is not above. The
	// few targets that stand still must not count as usual.
	usualShare = 0.95
	// quantileGain is the relative change by one observation above the estimate.
	quantileGain = 0.05
)

// quantile estimates the value that usualShare of what is observed stays below.
type quantile struct {
	value float64
}

// observe takes one more value.
func (q *quantile) observe(v sardine.Millis) {
	if float64(v) > q.value {
		q.value *= 1 + quantileGain*usualShare
		return
	}
	q.value = max(q.value*(1-quantileGain*(1-usualShare)), 1)
}

func (q *quantile) times(factor float64) sardine.Millis {
	return sardine.Millis(factor * q.value)
}
