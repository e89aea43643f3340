package route

import (
	sardine "sardineswitch.dev/sardine"
)

// BlockTokens is the number of tokens in one block of a prefix hash.
const BlockTokens = 64

// Policy is a way to choose among the usable targets.
type Policy uint8

// The policies. Mixed is the default; Batch is for engines without a prefix
// cache, and the others are baselines for comparison.
const (
	Mixed         Policy = iota + 1 // lowest expected time to first token of a few candidates
	Random                          // uniform
	LeastInFlight                   // fewest own requests in flight
	TwoChoices                      // the less loaded of two random candidates
	Rendezvous                      // hash of the prefix, with bounded load
	Hints                           // hinted holder of the longest prefix, else the less loaded of two random ones
	Batch                           // lowest batch and prefill load, for engines without a prefix cache
)

// String returns the policy's name in settings and measurement output.
func (p Policy) String() string {
	names := [...]string{"none", "mixed", "random", "least_in_flight", "two_choices", "rendezvous", "hints", "batch"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Costs is the router's initial cost model of an engine. Observed times scale
// it per service and per target.
type Costs struct {
	Base       float64 // milliseconds of a request without prefill
	PerToken   float64 // milliseconds of prefill per uncached token
	PerRunning float64 // relative slowdown of prefill per running request
}

type options struct {
	policy         Policy
	costs          Costs
	ownCentre      sardine.DataCentre
	distance       func(from, to sardine.DataCentre) sardine.Millis
	samples        int            // random candidates considered by Mixed
	rendezvous     int            // rendezvous targets considered by Mixed
	spread         float64        // targets per prefix relative to its share of the requests
	minTargets     int            // rendezvous targets of a rare prefix
	prefillPenalty float64        // weight of a request's own prefill for the delay of later requests
	strict         bool           // Mixed considers rendezvous targets only
	hintLimit      int            // maximum number of prefixes with hints, 0 turns hints off
	affinityBlocks int            // leading blocks of the prefix that decide its rendezvous order
	concurrency    int            // limit of own requests in flight to one plain target, 0 is none
	floor          float64        // share of a service's targets that always stays usable
	maxFailures    int            // consecutive failures that eject a target
	ejection       sardine.Millis // duration of the first ejection
}

// Option configures a Router.
type Option func(*options)

// WithPolicy sets the policy; the default is Mixed.
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

// WithSamples sets how many random candidates and how many rendezvous targets
// Mixed considers.
func WithSamples(random, rendezvous int) Option {
	return func(o *options) {
		o.samples = random
		o.rendezvous = rendezvous
	}
}

// WithSpread sets the number of rendezvous targets of a prefix: its share of
// the requests times the number of targets times factor, at least minTargets.
func WithSpread(factor float64, minTargets int) Option {
	return func(o *options) {
		o.spread = factor
		o.minTargets = minTargets
	}
}

// WithStrictRendezvous makes Mixed consider only a prefix's rendezvous targets.
// Copies of one request that are sent through several entry nodes at once
// then reach at most as many targets as the prefix has, at the cost of longer
// queues.
func WithStrictRendezvous() Option {
	return func(o *options) { o.strict = true }
}

// WithPrefillPenalty sets the penalty for the delay that a request's own prefill
// causes to later requests on the engine, relative to its time to first
// token.
func WithPrefillPenalty(weight float64) Option {
	return func(o *options) { o.prefillPenalty = weight }
}

// WithHints limits the number of prefixes whose holders are remembered; 0
// turns hints off.
func WithHints(limit int) Option {
	return func(o *options) { o.hintLimit = limit }
}

// WithPlainConcurrency limits the node's requests in flight to one plain
// target.
func WithPlainConcurrency(limit int) Option {
	return func(o *options) { o.concurrency = limit }
}

// WithEjection sets the number of consecutive failures that ejects a target,
// the duration of its first ejection, and the share of a service's targets, 0
// to 1, that always stays usable.
func WithEjection(failures int, first sardine.Millis, floor float64) Option {
	return func(o *options) {
		o.maxFailures = failures
		o.ejection = first
		o.floor = floor
	}
}

func defaults() options {
	return options{
		policy:         Mixed,
		costs:          Costs{Base: 15, PerToken: 0.1, PerRunning: 0.02},
		distance:       func(_, _ sardine.DataCentre) sardine.Millis { return 0 },
		samples:        2,
		rendezvous:     2,
		spread:         3,
		minTargets:     1,
		prefillPenalty: 0.5,
		hintLimit:      32768,
		affinityBlocks: 4,
		concurrency:    64,
		floor:          0.5,
		maxFailures:    5,
		ejection:       10 * sardine.Second,
	}
}
