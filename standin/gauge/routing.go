package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/route"
)

// RoutingResult is the result of the routing measurement.
type RoutingResult struct {
	Seed     uint64         `json:"seed"`
	Workers  int            `json:"workers"`
	Nodes    int            `json:"nodes"`
	Requests int            `json:"requests"`
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult is the time to first token under one policy, in milliseconds, and
// its use of caches and engines.
type PolicyResult struct {
	Policy       string  `json:"policy"`
	Mean         float64 `json:"mean_ms"`
	P50          float64 `json:"p50_ms"`
	P95          float64 `json:"p95_ms"`
	P99          float64 `json:"p99_ms"`
	HitShare     float64 `json:"hit_share"` // prompt blocks found in a cache
	LoadSkew     float64 `json:"load_skew"` // work of the busiest engine relative to the mean
	HintAccuracy float64 `json:"hint_accuracy"`
	CopiesOver2  float64 `json:"copies_over_two"` // share of new requests that run on three engines or more if sent through nine nodes at once
}

type routingFlags struct {
	seed           uint64
	workers        int
	nodes          int
	seconds        int
	rate           float64
	only           []string
	samples        int
	rendezvous     int
	spread         float64
	minTargets     int
	prefillPenalty float64
}

func routing() Measure {
	return Measure{
		Name:    "routing",
		Short:   "Time to first token of each routing policy over model engines, in virtual time",
		Example: "  standin measure routing --seed 1 --workers 840 --nodes 350",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &routingFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals, lengths and delays")
			c.Flags().IntVar(&f.workers, "workers", 50, "engines that serve the model")
			c.Flags().IntVar(&f.nodes, "nodes", 9, "entry nodes")
			c.Flags().IntVar(&f.seconds, "seconds", 180, "seconds of virtual time; requests of the first third are not counted")
			c.Flags().Float64Var(&f.rate, "rate", 6.2, "requests a second for each engine")
			c.Flags().StringSliceVar(&f.only, "only", nil, "policies to run, all by default")
			c.Flags().IntVar(&f.samples, "samples", 2, "random candidates that the policy mixed compares")
			c.Flags().IntVar(&f.rendezvous, "places", 2, "rendezvous targets that the policy mixed compares")
			c.Flags().Float64Var(&f.spread, "spread", 3, "number of targets of a prefix relative to its share of the requests")
			c.Flags().IntVar(&f.minTargets, "least", 1, "minimum number of targets of a prefix")
			c.Flags().Float64Var(&f.prefillPenalty, "regard", 0.5, "weight of a request's prefill for later requests")
			return func(out io.Writer) (any, error) { return measureRouting(out, f) }
		},
	}
}

// variant is one policy with its router options.
type variant struct {
	name         string
	oracle       bool
	sharedRouter bool // one router for all nodes, which shows the value of exact load information
	homes        bool // two steps: first a home node, then one of its engines
	options      []route.Option
}

// variants returns all variants in the order in which they are printed.
func variants() []variant {
	policy := func(p route.Policy) variant {
		return variant{name: p.String(), options: []route.Option{route.WithPolicy(p)}}
	}
	return []variant{
		{name: "oracle", oracle: true},
		policy(route.Random),
		policy(route.LeastInFlight),
		policy(route.TwoChoices),
		policy(route.Rendezvous),
		policy(route.Hints),
		policy(route.Mixed),
		{name: "mixed_without_hints", options: []route.Option{route.WithHints(0)}},
		{name: "mixed_strict_places", options: []route.Option{route.WithStrictRendezvous(), route.WithSpread(4, 2)}},
		{name: "mixed_one_view", sharedRouter: true},
		{name: "mixed_homes", homes: true},
	}
}

func measureRouting(out io.Writer, f *routingFlags) (any, error) {
	result := RoutingResult{Seed: f.seed, Workers: f.workers, Nodes: f.nodes}
	fmt.Fprintf(out, "%-22s %8s %8s %8s %8s %6s %6s %6s %6s\n", "policy", "mean", "p50", "p95", "p99", "hits", "skew", "hints", "over2")
	for _, v := range variants() {
		if !wanted(f.only, v.name) {
			continue
		}
		run := newRoutingRun(f, v)
		if err := run.run(); err != nil {
			return nil, err
		}
		p := run.result()
		fmt.Fprintf(out, "%-22s %8.1f %8.1f %8.1f %8.1f %6.3f %6.2f %6.3f %6.3f\n", p.Policy, p.Mean, p.P50, p.P95, p.P99, p.HitShare, p.LoadSkew, p.HintAccuracy, p.CopiesOver2)
		result.Policies = append(result.Policies, p)
		result.Requests = len(run.firstToken.values)
	}
	return result, nil
}

func wanted(only []string, name string) bool {
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return len(only) == 0
}
