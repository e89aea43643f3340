package admit

import (
	sardine "sardineswitch.dev/sardine"
)

type options struct {
	initial    float64 // requests in flight a new gate allows
	smallest   float64
	largest    float64
	queue      int            // requests waiting in one gate
	longest    sardine.Millis // wait without a deadline
	liveShare  float64        // share of the limit that live requests get on top of others
	normalPart float64        // floor of the normal class
	batchPart  float64        // floor of the batch class
	tolerance  float64        // latency over the unloaded one that is taken as queueing
	weights    map[sardine.Workspace]float64
}

// Option changes a controller's construction.
type Option func(*options)

// WithLimit sets the first, smallest and largest number of requests in flight of
// one service.
func WithLimit(initial, smallest, largest float64) Option {
	return func(o *options) {
		o.initial = initial
		o.smallest = smallest
		o.largest = largest
	}
}

// WithQueue sets how many requests may wait for one service and the longest
// wait.
func WithQueue(length int, longest sardine.Millis) Option {
	return func(o *options) {
		o.queue = length
		o.longest = longest
	}
}

// WithLiveShare sets the share of the limit, 0 to 1, up to which live requests
// start even when the limit is reached.
func WithLiveShare(share float64) Option {
	return func(o *options) { o.liveShare = share }
}

// WithFloors sets the shares of released requests, 0 to 1, that waiting normal
// and batch requests get at least.
func WithFloors(normal, batch float64) Option {
	return func(o *options) {
		o.normalPart = normal
		o.batchPart = batch
	}
}

// WithTolerance sets how far the time to first token may rise over the unloaded
// one before the limit falls.
func WithTolerance(factor float64) Option {
	return func(o *options) { o.tolerance = factor }
}

func defaults() options {
	return options{
		initial:    32,
		smallest:   2,
		largest:    4096,
		queue:      512,
		longest:    10 * sardine.Second,
		liveShare:  0.5,
		normalPart: 0.2,
		batchPart:  0.05,
		tolerance:  2.5,
		weights:    make(map[sardine.Workspace]float64),
	}
}
