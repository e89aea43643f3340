package gauge

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/standin/spread"
)

const (
	// oneRegion is the number of entry nodes up to which a site has one region.
	oneRegion = 40
	// linkNear and linkFar are one-way times. The driver counts whole
	// milliseconds, so half a millisecond counts as one.
	linkNear = sardine.Millis(1)
	linkFar  = sardine.Millis(30)
	// warmUp is the time until all nodes have joined and found their relays.
	warmUp = 15 * sardine.Second
	// faultLength is how long a pause, a cut or a crash lasts.
	faultLength = 15 * sardine.Second
	// settingsBytes is the size of the changed document.
	settingsBytes = 4000
)

// configOptions are the flags of the measurement.
type configOptions struct {
	nodes   int
	seed    uint64
	changes int
	fail    string
	policy  string
	pace    pace
}

// pace is the timing of the spread.
type pace struct {
	hold, serving int64 // milliseconds, 0 for the defaults
}

func (p *pace) flags(c *cobra.Command) {
	c.Flags().Int64Var(&p.hold, "hold", 0, "hold time of polls in ms, 0 for the default")
	c.Flags().Int64Var(&p.serving, "serving", 0, "serving lease in ms, 0 for the default")
}

// Latency is the distribution of a time in milliseconds, or of a count.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// ConfigResult is what the measurement prints.
type ConfigResult struct {
	Nodes          int     `json:"nodes"`
	Controls       int     `json:"controls"`
	Seed           uint64  `json:"seed"`
	Fail           string  `json:"fail"`
	Changes        int     `json:"changes"`
	Accepted       Latency `json:"submitted_to_accepted"`
	InForce        Latency `json:"submitted_to_last_node"`
	SinceNewLeader Latency `json:"new_leader_to_accepted"`
	Serving        Latency `json:"nodes_serving_10_s_after_the_failure"`
	Policy         string  `json:"policy"`
	BoundMs        int64   `json:"bound_ms"`
	InBound        bool    `json:"in_bound"`
	Violations     int     `json:"breaches"`
	Costs          []Spent `json:"costs_at_rest"`
}

func configMeasure() Measure {
	return Measure{
		Name:    "config",
		Short:   "Time from a settings change to its acceptance and to the last node",
		Example: "  standin measure config --nodes 350 --seed 1 --fail leader",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			o := configOptions{}
			c.Flags().IntVar(&o.nodes, "nodes", 9, "entry nodes")
			c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the run")
			c.Flags().IntVar(&o.changes, "changes", 40, "changes to make")
			c.Flags().StringVar(&o.fail, "fail", "none", "none, pause, cut or leader, before each change")
			c.Flags().StringVar(&o.policy, "policy", "refuse_requests", "cut policy of the team")
			o.pace.flags(c)
			return func(out io.Writer) (any, error) { return measureConfig(out, o) }
		},
	}
}

// spreadSite returns the world of a site with the given number of entry nodes: one
// region with three data centres and three control nodes, or two regions with
// five data centres and five control nodes.
func spreadSite(nodes int, seed uint64, p pace) spread.Options {
	centres, controls := 3, 3
	if nodes > oneRegion {
		centres, controls = 5, 5
	}
	o := spread.Options{
		Seed:           seed,
		Controls:       controls,
		Centres:        make([]int, centres),
		Operators:      1,
		Teams:          1,
		Faults:         drive.Faults{MaxDrift: 0.001},
		Latency:        linkTime,
		Manual:         true,
		NoRandomDelays: true,
		Filler:         settingsBytes,
		PollHold:       sardine.Millis(p.hold),
		ServingLease:   sardine.Millis(p.serving),
	}
	for i := range nodes {
		o.Centres[i%centres]++
	}
	return o
}

// linkTime returns the one-way time between data centres; the last two of five
// are a region of their own.
func linkTime(from, to int) sardine.Millis {
	const farRegion = 3
	if (from >= farRegion) != (to >= farRegion) {
		return linkFar
	}
	return linkNear
}

func measureConfig(out io.Writer, o configOptions) (any, error) {
	site := spreadSite(o.nodes, o.seed, o.pace)
	site.Policy = o.policy
	w := spread.New(site)
	w.RunFor(warmUp)
	r := ConfigResult{Nodes: o.nodes, Controls: site.Controls, Policy: o.policy, Seed: o.seed, Fail: o.fail, BoundMs: 5000}
	if o.nodes > oneRegion {
		r.BoundMs = 11_000
	}
	mean, _ := w.MeasureCosts(20 * sardine.Second)
	overhead, err := measureOverhead()
	if err != nil {
		return nil, err
	}
	r.Costs = spent(mean, overhead)
	accepted, inForce, led, serving := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for range o.changes {
		if err := fail(w, o.fail); err != nil {
			return nil, err
		}
		sample := w.CountServingAfter(10 * sardine.Second)
		trial, err := w.Change()
		if err != nil {
			return nil, err
		}
		_ = accepted.RecordValue(int64(trial.Accepted))
		_ = inForce.RecordValue(int64(trial.InForce))
		if trial.SinceElection > 0 {
			_ = led.RecordValue(int64(trial.SinceElection))
		}
		r.Changes++
		if o.fail != "none" {
			w.RunFor(faultLength + 10*sardine.Second)
			_ = serving.RecordValue(int64(*sample))
		}
		w.RunFor(2 * sardine.Second)
	}
	r.Accepted, r.InForce, r.SinceNewLeader, r.Serving = latency(accepted), latency(inForce), latency(led), latency(serving)
	r.InBound = r.Accepted.Max <= r.BoundMs && r.InForce.Max <= r.BoundMs
	r.Violations = len(w.Violations)
	fmt.Fprintf(out, "%d changes at %d nodes, failure %s: accepted p50 %d ms, p99 %d ms, max %d ms; last live node p99 %d ms, max %d ms; new leader to accepted max %d ms; %d to %d nodes serve 10 s after the failure\n",
		r.Changes, o.nodes, o.fail, r.Accepted.P50, r.Accepted.P99, r.Accepted.Max, r.InForce.P99, r.InForce.Max, r.SinceNewLeader.Max, serving.Min(), r.Serving.Max)
	return r, nil
}

// fail brings a failure about.
func fail(w *spread.World, kind string) error {
	switch kind {
	case "none":
	case "pause":
		w.Pause(faultLength)
	case "cut":
		w.CutCentre(faultLength)
	case "leader":
		w.CrashLeader(faultLength)
	default:
		return fmt.Errorf("found the failure %q, expected none, pause, cut or leader", kind)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 600_000, 3)
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}
