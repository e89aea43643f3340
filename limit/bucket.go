package limit

import (
	sardine "sardineswitch.dev/sardine"
)

// burst is how many seconds of its rate a bucket keeps, and least how many units
// of the usual size, so that a small share is not lost to single requests.
const (
	burst = 3.0
	least = 4.0
)

// bucket is a token bucket whose rate may change. It may go into debt, because
// the tokens of a request are known only at its end.
type bucket struct {
	rate  float64 // units per second, 0 is no limit
	level float64
	size  float64 // usual units of one request
	at    sardine.Millis
}

func newBucket(now sardine.Millis, rate, size float64) *bucket {
	b := &bucket{rate: rate, size: size, at: now}
	b.level = min(b.depth(), rate)
	return b
}

func (b *bucket) depth() float64 {
	return max(b.rate*burst, b.size*least)
}

func (b *bucket) fill(now sardine.Millis) {
	if now > b.at {
		b.level = min(b.level+b.rate*float64(now-b.at)/1000, b.depth())
		b.at = now
	}
}

// has reports whether a request of n units may start. One of more than the
// bucket's depth may start from a full bucket and leaves a debt.
func (b *bucket) has(n float64) bool {
	return b.level >= min(n, b.depth())-1e-9
}

// wait returns the milliseconds until has(n).
func (b *bucket) wait(n float64) float64 {
	if b.rate <= 0 {
		return 60000
	}
	return max((min(n, b.depth())-b.level)/b.rate*1000, 1)
}

// take spends n units, or gives them back if n is negative.
func (b *bucket) take(n float64) {
	b.level = min(b.level-n, b.depth())
}

// setRate changes the rate from now on.
func (b *bucket) setRate(now sardine.Millis, rate float64) {
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.depth())
}

// observeSize learns the usual units of one request.
func (b *bucket) observeSize(n float64) {
	b.size += 0.02 * (n - b.size)
}
