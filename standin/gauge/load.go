package gauge

import (
	"fmt"
	"io"
	"math"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// LoadResult is the load measurement's last line.
type LoadResult struct {
	Seed  uint64       `json:"seed"`
	Kinds []KindResult `json:"kinds"`
}

// Served returns the share of all requests that was answered in full.
func (r LoadResult) Served() float64 {
	served, asked := 0.0, 0
	for _, k := range r.Kinds {
		served += k.Served * float64(k.Requests)
		asked += k.Requests
	}
	return served / float64(max(asked, 1))
}

// KindResult tells how one kind of request was served.
type KindResult struct {
	Kind         string  `json:"kind"`
	Requests     int     `json:"asked"`
	Served       float64 `json:"served"`  // share that was answered in full
	InTime       float64 `json:"in_time"` // share whose first event and pauses were in time
	LargestTenth float64 `json:"largest_tenth_served"`
	FifthBelow   float64 `json:"fifth_below_served"`
	Refused      float64 `json:"refused"`
}

// LargestShare returns the part of the kind's served share that its largest requests get,
// by the worse of the largest tenth and the fifth below.
func (k KindResult) LargestShare() float64 {
	return min(k.LargestTenth, k.FifthBelow) / max(k.Served, 1e-9)
}

// loadKind is one kind of request of the load.
type loadKind struct {
	name      string
	rate      float64 // a second
	prompt    lengths // tokens
	events    lengths
	objective sardine.Millis
	gap       sardine.Millis
	timeout   sardine.Millis
}

// lengths draws from a log-normal distribution that is cut off at most.
type lengths struct {
	middle, spread, most float64
}

// newLengths returns lengths of a mean, which counts those that are cut off.
func newLengths(mean, spread, most float64) lengths {
	low, high := 0.0, most
	for range 40 {
		l := lengths{middle: (low + high) / 2, spread: spread, most: most}
		if l.mean() < mean {
			low = l.middle
		} else {
			high = l.middle
		}
	}
	return lengths{middle: low, spread: spread, most: most}
}

// mean returns the mean over evenly spaced quantiles.
func (l lengths) mean() float64 {
	const count = 1000
	sum := 0.0
	for i := range count {
		normal := math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/count-1)
		sum += l.at(normal)
	}
	return sum / count
}

func (l lengths) at(normal float64) float64 {
	return min(l.middle*math.Exp(l.spread*normal), l.most)
}

// loadPattern is a load on one model's groups and what happens to these.
type loadPattern struct {
	nodes               int
	groups              int
	slots               int
	queue               int // requests that wait at a group at most
	times               sardine.IterationTimes
	pace                float64
	kinds               []loadKind
	hurry               float64        // callers state a patience that is up to this part shorter than the timeout
	lossEach            sardine.Millis // a group is lost so often, 0 for never
	lossFor             sardine.Millis // until another one has formed in its place
	lossFrom, lossUntil sardine.Millis
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
		Short:   "What becomes of small and large requests at engines with batches, in virtual time",
		Example: "  standin measure load --seed 1 --groups 6 --every 3000",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &loadFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals, lengths and delays")
			c.Flags().StringVar(&f.pattern, "pattern", "long", "load: long or short prompts")
			c.Flags().IntVar(&f.seconds, "seconds", 40, "seconds of virtual time")
			c.Flags().IntVar(&f.nodes, "nodes", 69, "entry nodes")
			c.Flags().IntVar(&f.groups, "groups", 6, "groups that serve the model at first")
			c.Flags().IntVar(&f.every, "every", 3000, "milliseconds from one loss of a group to the next, 0 for none")
			c.Flags().IntVar(&f.away, "away", 8000, "milliseconds until another group has formed in its place")
			c.Flags().Float64Var(&f.rate, "rate", 1, "load relative to the usual one")
			return func(out io.Writer) (any, error) { return measureLoad(out, f) }
		},
	}
}

// loadPatterns are the loads by name.
var loadPatterns = map[string]func(f *loadFlags) loadPattern{"long": longPrompts, "short": shortPrompts}

// longPrompts is a load of long prompts and streams of any length on few groups.
func longPrompts(f *loadFlags) loadPattern {
	p := batchGroups(f)
	p.pace = 1
	p.kinds = []loadKind{
		{name: "draft", rate: 43 * f.rate, prompt: newLengths(1420, 1, 4030), events: newLengths(24.6, 0.89, 78), objective: 300, gap: 300, timeout: 8000},
		{name: "check", rate: 28 * f.rate, prompt: newLengths(1960, 1.3, 5880), events: newLengths(3.2, 0.9, 36), objective: 400, gap: 300, timeout: 5000},
	}
	return p
}

// shortPrompts is a load of many shorter prompts on many groups of a faster model.
func shortPrompts(f *loadFlags) loadPattern {
	p := batchGroups(f)
	p.pace = 0.6
	p.kinds = []loadKind{
		{name: "revise", rate: 433 * f.rate, prompt: newLengths(674, 0.89, 2340), events: newLengths(31.4, 0.7, 78), objective: 200, gap: 200, timeout: 5000},
	}
	return p
}

// batchGroups are groups with batches of 30 that many entry nodes send to.
func batchGroups(f *loadFlags) loadPattern {
	return loadPattern{
		nodes:     f.nodes,
		groups:    f.groups,
		slots:     30,
		queue:     60,
		times:     sardine.IterationTimes{Steps: 7, Step: 5.95, PerRequest: 0.0445, PerContext: 0.00813, PrefillPerMilli: 50.7, PrefillChunk: 2048},
		hurry:     0.15,
		lossEach:  sardine.Millis(f.every),
		lossFor:   sardine.Millis(f.away),
		lossFrom:  2 * sardine.Second,
		lossUntil: 28 * sardine.Second,
	}
}

func measureLoad(out io.Writer, f *loadFlags) (any, error) {
	pattern, known := loadPatterns[f.pattern]
	if !known {
		return nil, codes.New(codes.UsageError, "no pattern is named %q, known are long and short", f.pattern)
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
