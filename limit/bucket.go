package limit

import (
	sardine "sardineswitch.dev/sardine"
)

// burstSeconds is the depth of a bucket in seconds of its rate, and
// minRequests its least depth in requests of mean size, so that a low rate
// still allows single requests.
const (
	burstSeconds = 3.0
	minRequests  = 4.0
)

// bucket is a token bucket whose rate may change. Its level may become
// negative, because the tokens of a request are known only at its end.
type bucket struct {
	rate     float64 // units per second, 0 if there is no limit
	level    float64
	meanSize float64 // mean units per request
	at       sardine.Millis
}

func newBucket(now sardine.Millis, rate, meanSize float64) *bucket {
	b := &bucket{rate: rate, meanSize: meanSize, at: now}
	b.level = min(b.depth(), rate)
	return b
}

func (b *bucket) depth() float64 {
	return max(b.rate*burstSeconds, b.meanSize*minRequests)
}

func (b *bucket) fill(now sardine.Millis) {
	if now > b.at {
		b.level = min(b.level+b.rate*float64(now-b.at)/1000, b.depth())
		b.at = now
	}
}

// allows reports whether a request of n units may start. A request larger
// than the bucket's depth may start when the bucket is full, and makes the
// level negative.
func (b *bucket) allows(n float64) bool {
	return b.level >= min(n, b.depth())-1e-9
}

// wait returns the milliseconds until a request of n units may start.
func (b *bucket) wait(n float64) float64 {
	if b.rate <= 0 {
		return 60000
	}
	return max((min(n, b.depth())-b.level)/b.rate*1000, 1)
}

// take spends n units, or returns them if n is negative.
func (b *bucket) take(n float64) {
	b.level = min(b.level-n, b.depth())
}

// setRate changes the rate from now on.
func (b *bucket) setRate(now sardine.Millis, rate float64) {
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.depth())
}

// observeSize updates the mean units per request.
func (b *bucket) observeSize(n float64) {
	b.meanSize += 0.02 * (n - b.meanSize)
}
