package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/route"
)

// RoutingResult is the routing measurement's last line.
type RoutingResult struct {
	Seed     uint64         `json:"seed"`
	Workers  int            `json:"workers"`
	Nodes    int            `json:"nodes"`
	Requests int            `json:"requests"`
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult is one policy's time to first token in milliseconds and how it
// used the caches and engines.
type PolicyResult struct {
	Policy       string  `json:"policy"`
	Mean         float64 `json:"mean_ms"`
	P50          float64 `json:"p50_ms"`
	P95          float64 `json:"p95_ms"`
	P99          float64 `json:"p99_ms"`
	HitShare     float64 `json:"hit_share"`
	LoadSkew     float64 `json:"load_skew"` // busiest engine over the mean
	HintAccuracy float64 `json:"hint_accuracy"`
	CopiesOver2  float64 `json:"copies_over_two"` // of new requests sent through nine nodes at once, those on three engines or more
}

type routingFlags struct {
	seed    uint64
	workers int
	nodes   int
	seconds int
	rate    float64
	only    []string
	samples int
	places  int
	spread  float64
	least   int
	regard  float64
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
			c.Flags().IntVar(&f.seconds, "seconds", 180, "seconds of virtual time, the first third is not counted")
			c.Flags().Float64Var(&f.rate, "rate", 6.2, "requests a second for each engine")
			c.Flags().StringSliceVar(&f.only, "only", nil, "policies to run, all by default")
			c.Flags().IntVar(&f.samples, "samples", 2, "random candidates that mixed weighs")
			c.Flags().IntVar(&f.places, "places", 2, "rendezvous places that mixed weighs")
			c.Flags().Float64Var(&f.spread, "spread", 3, "targets of a prefix over its share of the requests")
			c.Flags().IntVar(&f.least, "least", 1, "targets of a rare prefix")
			c.Flags().Float64Var(&f.regard, "regard", 0.5, "weight of a request's own prefill for those after it")
			return func(out io.Writer) (any, error) { return measureRouting(out, f) }
		},
	}
}

// variant is one policy with its router options.
type variant struct {
	name    string
	oracle  bool
	oneView bool // one router for all nodes: what exact knowledge of the load is worth
	homes   bool // two steps: a home node of the prefix, then an engine of that home
	options []route.Option
}

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
		{name: "mixed_one_view", oneView: true},
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
		result.Requests = len(run.first.values)
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
