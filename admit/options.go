package admit

import (
	sardine "sardineswitch.dev/sardine"
)

type options struct {
	initial        float64 // first limit of requests in flight
	smallest       float64
	largest        float64
	queue          int            // maximum number of requests waiting in one gate
	maxWait        sardine.Millis // longest wait of a request
	liveShare      float64        // share of the limit up to which live requests start even if the limit is reached
	normalMinShare float64        // of the normal class
	batchMinShare  float64        // of the batch class
	tolerance      float64        // ratio of latency to baseline above which requests count as queueing
	weights        map[sardine.Workspace]float64
}

// Option configures a Controller.
type Option func(*options)

// WithLimit sets the first, smallest and largest limit of requests in flight
// of one service.
func WithLimit(initial, smallest, largest float64) Option {
	return func(o *options) {
		o.initial = initial
		o.smallest = smallest
		o.largest = largest
	}
}

// WithQueue sets how many requests may wait for one service, and the longest
// wait.
func WithQueue(length int, maxWait sardine.Millis) Option {
	return func(o *options) {
		o.queue = length
		o.maxWait = maxWait
	}
}

// WithLiveShare sets the share of the limit, 0 to 1, up to which live
// requests start even when the limit is reached.
func WithLiveShare(share float64) Option {
	return func(o *options) { o.liveShare = share }
}

// WithMinShares sets the minimum shares of released requests, 0 to 1, of waiting
// normal and batch requests.
func WithMinShares(normal, batch float64) Option {
	return func(o *options) {
		o.normalMinShare = normal
		o.batchMinShare = batch
	}
}

// WithTolerance sets the ratio of the time to first token to the one without
// load above which the limit decreases.
func WithTolerance(factor float64) Option {
	return func(o *options) { o.tolerance = factor }
}

func defaults() options {
	return options{
		initial:        32,
		smallest:       2,
		largest:        4096,
		queue:          512,
		maxWait:        10 * sardine.Second,
		liveShare:      0.5,
		normalMinShare: 0.2,
		batchMinShare:  0.05,
		tolerance:      2.5,
		weights:        make(map[sardine.Workspace]float64),
	}
}
