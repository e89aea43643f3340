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
	// maxOneRegion is the largest number of entry nodes of a site with one
	// region.
	maxOneRegion = 40
	// linkNear and linkFar are the one-way latencies within a region and
	// between regions. The simulation counts whole milliseconds, so half a
	// millisecond counts as one.
	linkNear = sardine.Millis(1)
	linkFar  = sardine.Millis(30)
	// warmUp is the time until all nodes have joined and poll their relays.
	warmUp = 15 * sardine.Second
	// faultLength is the duration of a pause, a network cut or a crash.
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
	timing  followTiming
}

// followTiming is the timing of the polls with which entry nodes follow the
// settings, and of their serving leases.
type followTiming struct {
	hold, serving int64 // milliseconds, 0 for the defaults
}

func (t *followTiming) flags(c *cobra.Command) {
	c.Flags().Int64Var(&t.hold, "hold", 0, "hold time of polls in ms, 0 for the default")
	c.Flags().Int64Var(&t.serving, "serving", 0, "serving lease in ms, 0 for the default")
}

// Latency is the distribution of a time in milliseconds, or of a number of
// nodes.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// ConfigResult is the result of the config measurement.
type ConfigResult struct {
	Nodes          int     `json:"nodes"`
	Controls       int     `json:"controls"`
	Seed           uint64  `json:"seed"`
	Fail           string  `json:"fail"`
	Changes        int     `json:"changes"`
	Accepted       Latency `json:"submitted_to_accepted"`
	InForce        Latency `json:"submitted_to_last_node"`               // until every live node uses the change
	SinceNewLeader Latency `json:"new_leader_to_accepted"`               // from the start of the new leader's term
	Serving        Latency `json:"nodes_serving_10_s_after_the_failure"` // number of entry nodes
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
			c.Flags().StringVar(&o.policy, "policy", "refuse_requests", "policy of the team for nodes that are cut off")
			o.timing.flags(c)
			return func(out io.Writer) (any, error) { return measureConfig(out, o) }
		},
	}
}

// siteOptions returns the options of a simulated site with the given number of
// entry nodes: one region with three data centres and three control nodes, or
// two regions with five data centres and five control nodes.
func siteOptions(nodes int, seed uint64, t followTiming) spread.Options {
	centres, controls := 3, 3
	if nodes > maxOneRegion {
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
		PollHold:       sardine.Millis(t.hold),
		ServingLease:   sardine.Millis(t.serving),
	}
	for i := range nodes {
		o.Centres[i%centres]++
	}
	return o
}

// linkTime returns the one-way latency between data centres. The last two of
// five are in a second region.
func linkTime(from, to int) sardine.Millis {
	const farRegion = 3
	if (from >= farRegion) != (to >= farRegion) {
		return linkFar
	}
	return linkNear
}

func measureConfig(out io.Writer, o configOptions) (any, error) {
	site := siteOptions(o.nodes, o.seed, o.timing)
	site.Policy = o.policy
	w := spread.New(site)
	w.RunFor(warmUp)
	r := ConfigResult{Nodes: o.nodes, Controls: site.Controls, Policy: o.policy, Seed: o.seed, Fail: o.fail, BoundMs: 5000}
	if o.nodes > maxOneRegion {
		r.BoundMs = 11_000
	}
	mean, _ := w.MeasureCosts(20 * sardine.Second)
	overhead, err := measureOverhead()
	if err != nil {
		return nil, err
	}
	r.Costs = nodeCosts(mean, overhead)
	accepted, inForce, newLeader, serving := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for range o.changes {
		if err := injectFailure(w, o.fail); err != nil {
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
			_ = newLeader.RecordValue(int64(trial.SinceElection))
		}
		r.Changes++
		if o.fail != "none" {
			w.RunFor(faultLength + 10*sardine.Second)
			_ = serving.RecordValue(int64(*sample))
		}
		w.RunFor(2 * sardine.Second)
	}
	r.Accepted, r.InForce, r.SinceNewLeader, r.Serving = latency(accepted), latency(inForce), latency(newLeader), latency(serving)
	r.InBound = r.Accepted.Max <= r.BoundMs && r.InForce.Max <= r.BoundMs
	r.Violations = len(w.Violations)
	fmt.Fprintf(out, "%d changes at %d nodes, failure %s: accepted p50 %d ms, p99 %d ms, max %d ms; last live node p99 %d ms, max %d ms; new leader to accepted max %d ms; %d to %d nodes serve 10 s after the failure\n",
		r.Changes, o.nodes, o.fail, r.Accepted.P50, r.Accepted.P99, r.Accepted.Max, r.InForce.P99, r.InForce.Max, r.SinceNewLeader.Max, serving.Min(), r.Serving.Max)
	return r, nil
}

// injectFailure starts a failure of the given kind.
func injectFailure(w *spread.World, kind string) error {
	switch kind {
	case "none":
	case "pause":
		w.Pause(faultLength)
	case "cut":
		w.CutCentre(faultLength)
	case "leader":
		w.CrashLeader(faultLength)
	default:
		return fmt.Errorf("unknown failure %q, expected none, pause, cut or leader", kind)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 600_000, 3)
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}
