package route

import (
	sardine "sardineswitch.dev/sardine"
)

// BlockTokens is the number of tokens in one block of a prefix hash.
const BlockTokens = 64

// Policy is a way to choose among the candidates.
type Policy uint8

// The policies. Mixed is the one that runs; the others are its baselines in
// measurements.
const (
	Mixed         Policy = iota + 1 // expected time to first token over a few sampled candidates
	Random                          // uniform
	LeastInFlight                   // fewest own requests in flight
	TwoChoices                      // the less loaded of two random candidates
	Rendezvous                      // hash of the prefix, with bounded load
	Hints                           // the hinted holder of the longest prefix, else the least loaded
	Batch                           // the least loaded for its speed, for engines that keep no prompt
)

// String returns the policy's name in settings and measurements.
func (p Policy) String() string {
	names := [...]string{"none", "mixed", "random", "least_in_flight", "two_choices", "rendezvous", "hints", "batch"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Costs is what the router assumes about an engine before it has seen answers.
// Observed times scale it per service and per target.
type Costs struct {
	Base       float64 // milliseconds of a request without prefill
	PerToken   float64 // milliseconds of prefill per uncached token
	PerRunning float64 // relative slowdown of prefill per running request
}

type options struct {
	policy      Policy
	costs       Costs
	ownCentre   sardine.DataCentre
	distance    func(from, to sardine.DataCentre) sardine.Millis
	samples     int     // random candidates weighed by Mixed
	places      int     // rendezvous places weighed by Mixed
	spread      float64 // places of a prefix over its share of the requests
	least       int     // places of a rare prefix
	regard      float64 // weight of a request's own prefill for those after it
	strict      bool    // Mixed weighs only places
	hintLimit   int     // prefixes with hints
	anchor      int     // blocks of the prefix that decide its rendezvous order
	concurrency int     // bound on own requests in flight to one plain target, 0 is none
	floor       float64
	maxFailures int
	ejection    sardine.Millis
}

// Option changes a router's construction.
type Option func(*options)

// WithPolicy sets the policy, Mixed by default.
func WithPolicy(p Policy) Option {
	return func(o *options) { o.policy = p }
}

// WithCosts sets the assumed engine costs.
func WithCosts(c Costs) Option {
	return func(o *options) { o.costs = c }
}

// WithDistance sets the node's data centre and the round-trip time between two
// data centres.
func WithDistance(own sardine.DataCentre, roundTrip func(from, to sardine.DataCentre) sardine.Millis) Option {
	return func(o *options) {
		o.ownCentre = own
		o.distance = roundTrip
	}
}

// WithSamples sets how many random candidates and how many places of the
// rendezvous order are weighed.
func WithSamples(random, places int) Option {
	return func(o *options) {
		o.samples = random
		o.places = places
	}
}

// WithSpread sets over how many targets a prefix is spread: its share of the
// requests times the number of targets times factor, at least least.
func WithSpread(factor float64, least int) Option {
	return func(o *options) {
		o.spread = factor
		o.least = least
	}
}

// WithStrictPlaces lets Mixed weigh only a prefix's rendezvous places. Copies of
// one request sent through several entry nodes at once then meet on as many
// targets at most, at the cost of longer queues.
func WithStrictPlaces() Option {
	return func(o *options) { o.strict = true }
}

// WithRegard sets how much a request's own prefill counts for those that come
// after it on the engine, relative to its time to first token.
func WithRegard(weight float64) Option {
	return func(o *options) { o.regard = weight }
}

// WithHints bounds the prefixes whose holders are remembered; 0 turns hints off.
func WithHints(limit int) Option {
	return func(o *options) { o.hintLimit = limit }
}

// WithPlainConcurrency bounds the node's requests in flight to one plain target.
func WithPlainConcurrency(limit int) Option {
	return func(o *options) { o.concurrency = limit }
}

// WithEjection sets the consecutive failures that eject a target, how long it
// is ejected the first time, and the share of a service's targets, 0 to 1, that
// is never ejected.
func WithEjection(failures int, first sardine.Millis, floor float64) Option {
	return func(o *options) {
		o.maxFailures = failures
		o.ejection = first
		o.floor = floor
	}
}

func defaults() options {
	return options{
		policy:      Mixed,
		costs:       Costs{Base: 15, PerToken: 0.1, PerRunning: 0.02},
		distance:    func(_, _ sardine.DataCentre) sardine.Millis { return 0 },
		samples:     2,
		places:      2,
		spread:      3,
		least:       1,
		regard:      0.5,
		hintLimit:   32768,
		anchor:      4,
		concurrency: 64,
		floor:       0.5,
		maxFailures: 5,
		ejection:    10 * sardine.Second,
	}
}
