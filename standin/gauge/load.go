package gauge

import (
	"fmt"
	"io"
	"math"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// LoadResult is the result of the load measurement.
type LoadResult struct {
	Seed  uint64       `json:"seed"`
	Kinds []KindResult `json:"kinds"`
}

// Served returns the share of all requests that were answered in full.
func (r LoadResult) Served() float64 {
	served, requests := 0.0, 0
	for _, k := range r.Kinds {
		served += k.Served * float64(k.Requests)
		requests += k.Requests
	}
	return served / float64(max(requests, 1))
}

// KindResult describes how one kind of request was served. Requests are ordered
// by size for the shares of the largest ones.
type KindResult struct {
	Kind         string  `json:"kind"`
	Requests     int     `json:"asked"`
	Served       float64 `json:"served"`               // share answered in full
	InTime       float64 `json:"in_time"`              // share answered in full without a late event
	LargestTenth float64 `json:"largest_tenth_served"` // share answered in full of the largest tenth
	FifthBelow   float64 `json:"fifth_below_served"`   // of the fifth just below the largest tenth
	Refused      float64 `json:"refused"`              // share refused, also after the caller's retry
}

// LargestShare returns the ratio of the served share of the largest requests to that
// of the whole kind, for the worse of the largest tenth and the fifth below it.
// A low ratio means that large requests are starved.
func (k KindResult) LargestShare() float64 {
	return min(k.LargestTenth, k.FifthBelow) / max(k.Served, 1e-9)
}

// loadKind is one kind of request of the load.
type loadKind struct {
	name      string
	rate      float64 // requests a second
	prompt    lengths // in tokens
	events    lengths
	objective sardine.Millis // for the time to the first event
	gap       sardine.Millis // maximum time between two events
	timeout   sardine.Millis // of the caller, for the whole answer
}

// lengths is a log-normal distribution whose larger values are replaced by the
// limit.
type lengths struct {
	median, sigma, limit float64
}

// newLengths returns the distribution that has the given mean after values are
// limited.
func newLengths(mean, sigma, limit float64) lengths {
	low, high := 0.0, limit
	for range 40 {
		l := lengths{median: (low + high) / 2, sigma: sigma, limit: limit}
		if l.mean() < mean {
			low = l.median
		} else {
			high = l.median
		}
	}
	return lengths{median: low, sigma: sigma, limit: limit}
}

// mean approximates the mean by that of evenly spaced quantiles.
func (l lengths) mean() float64 {
	const count = 1000
	sum := 0.0
	for i := range count {
		normal := math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/count-1)
		sum += l.at(normal)
	}
	return sum / count
}

// at returns the length for a value of the standard normal distribution.
func (l lengths) at(normal float64) float64 {
	return min(l.median*math.Exp(l.sigma*normal), l.limit)
}

// loadPattern describes a load on one model's groups and the loss of groups.
type loadPattern struct {
	nodes               int
	groups              int
	slots               int
	queue               int // maximum number of requests that wait at a group
	times               sardine.IterationTimes
	timeFactor          float64
	kinds               []loadKind
	timeoutJitter       float64        // callers' timeouts are shorter than their kind's by up to this share
	lossInterval        sardine.Millis // time between two losses of a group, 0 for none
	replaceTime         sardine.Millis // time until another group has formed in its place
	lossFrom, lossUntil sardine.Millis // period in which groups are lost
}

type loadFlags struct {
	seed    uint64
	pattern string
	seconds int
	nodes   int
	groups  int
	every   int
	away    int
	rate    float64
}

func loadMeasure() Measure {
	return Measure{
		Name:    "load",
		Short:   "How small and large requests are served by engines with batches, in virtual time",
		Example: "  standin measure load --seed 1 --groups 6 --every 3000",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &loadFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals, lengths and delays")
			c.Flags().StringVar(&f.pattern, "pattern", "long", "load: long or short prompts")
			c.Flags().IntVar(&f.seconds, "seconds", 40, "seconds of virtual time")
			c.Flags().IntVar(&f.nodes, "nodes", 69, "entry nodes")
			c.Flags().IntVar(&f.groups, "groups", 6, "groups that serve the model at the start")
			c.Flags().IntVar(&f.every, "every", 3000, "milliseconds from one loss of a group to the next, 0 for none")
			c.Flags().IntVar(&f.away, "away", 8000, "milliseconds until another group has formed in its place")
			c.Flags().Float64Var(&f.rate, "rate", 1, "load relative to the usual one")
			return func(out io.Writer) (any, error) { return measureLoad(out, f) }
		},
	}
}

// loadPatterns holds the patterns by the value of the flag pattern.
var loadPatterns = map[string]func(f *loadFlags) loadPattern{"long": longPrompts, "short": shortPrompts}

// longPrompts returns a load of long prompts, with short and long streams, on
// few groups.
func longPrompts(f *loadFlags) loadPattern {
	p := batchGroups(f)
	p.timeFactor = 1
	p.kinds = []loadKind{
		{name: "draft", rate: 43 * f.rate, prompt: newLengths(1420, 1, 4030), events: newLengths(24.6, 0.89, 78), objective: 300, gap: 300, timeout: 8000},
		{name: "check", rate: 28 * f.rate, prompt: newLengths(1960, 1.3, 5880), events: newLengths(3.2, 0.9, 36), objective: 400, gap: 300, timeout: 5000},
	}
	return p
}

// shortPrompts returns a load of many shorter prompts on many groups of a
// faster model.
func shortPrompts(f *loadFlags) loadPattern {
	p := batchGroups(f)
	p.timeFactor = 0.6
	p.kinds = []loadKind{
		{name: "revise", rate: 433 * f.rate, prompt: newLengths(674, 0.89, 2340), events: newLengths(31.4, 0.7, 78), objective: 200, gap: 200, timeout: 5000},
	}
	return p
}

// batchGroups returns a pattern without requests: groups with batches of 30, to
// which many entry nodes send.
func batchGroups(f *loadFlags) loadPattern {
	return loadPattern{
		nodes:         f.nodes,
		groups:        f.groups,
		slots:         30,
		queue:         60,
		times:         sardine.IterationTimes{Steps: 7, Step: 5.95, PerRequest: 0.0445, PerContext: 0.00813, PrefillPerMilli: 50.7, PrefillChunk: 2048},
		timeoutJitter: 0.15,
		lossInterval:  sardine.Millis(f.every),
		replaceTime:   sardine.Millis(f.away),
		lossFrom:      2 * sardine.Second,
		lossUntil:     28 * sardine.Second,
	}
}

func measureLoad(out io.Writer, f *loadFlags) (any, error) {
	pattern, known := loadPatterns[f.pattern]
	if !known {
		return nil, codes.New(codes.UsageError, "unknown pattern %q, expected long or short", f.pattern)
	}
	run := newLoadRun(pattern(f), f.seed)
	run.run(sardine.Millis(f.seconds) * sardine.Second)
	result := run.result()
	fmt.Fprintf(out, "%-8s %6s %7s %8s %7s %14s %12s\n", "kind", "asked", "served", "in time", "refused", "largest tenth", "fifth below")
	for _, k := range result.Kinds {
		fmt.Fprintf(out, "%-8s %6d %7.3f %8.3f %7.3f %14.3f %12.3f\n", k.Kind, k.Requests, k.Served, k.InTime, k.Refused, k.LargestTenth, k.FifthBelow)
	}
	return result, nil
}
