package quota

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// burstSeconds is the depth of a bucket beyond one request, in seconds of
	// its rate.
	burstSeconds = 0.3
	// maxDebt bounds the requests below zero, so that those sent in spite of
	// the limit don't close a target for long.
	maxDebt = 2.0
	// closedWait is the estimated wait at a target of which a node has no
	// share.
	closedWait = 5 * sardine.Second
)

// bucket is a token bucket for requests whose rate may change. It starts empty.
type bucket struct {
	rate  float64 // requests per second
	level float64
	at    sardine.Millis
}

func (b *bucket) depth() float64 {
	return 1 + b.rate*burstSeconds
}

// setRate fills the bucket up to now and sets its rate from then on.
func (b *bucket) setRate(now sardine.Millis, rate float64) {
	if now > b.at {
		b.level += b.rate * float64(now-b.at) / 1000
		b.at = now
	}
	b.rate = rate
	b.level = min(b.level, b.depth())
}

// wait returns the time until a request may be sent.
func (b *bucket) wait() sardine.Millis {
	missing := 1 - b.level
	if missing <= 1e-9 && b.rate > 0 {
		return 0
	}
	if b.rate <= 0 {
		return closedWait
	}
	return sardine.Millis(missing/b.rate*1000) + 1
}

// take spends n requests, or returns them if n is negative.
func (b *bucket) take(n float64) {
	b.level = max(min(b.level-n, b.depth()), -maxDebt)
}
