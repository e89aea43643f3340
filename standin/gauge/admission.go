package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// AdmissionResult is the admission measurement's last line.
type AdmissionResult struct {
	Seed            uint64  `json:"seed"`
	Engines         int     `json:"engines"`
	Nodes           int     `json:"nodes"`
	Capacity        float64 `json:"capacity_per_second"`
	Goodput         float64 `json:"goodput_share"`        // of the capacity, at twice the capacity
	Unmanaged       float64 `json:"no_admission_share"`   // the same without admission
	LiveUnloaded    float64 `json:"live_p99_unloaded_ms"` // at 30 % of the capacity
	LiveLoaded      float64 `json:"live_p99_loaded_ms"`
	LiveFactor      float64 `json:"live_p99_factor"`
	LiveFloor       float64 `json:"live_p99_floor_ms"` // on one engine held at 90 % of its capacity, no routing
	BatchShare      float64 `json:"batch_share"`       // of the answers, at twice the capacity
	Jain            float64 `json:"jain"`              // among equal workspaces that offer unequally
	CallsInOutage   float64 `json:"calls_per_request_dark"`
	GoodputInOutage float64 `json:"goodput_dark_share"` // of the remaining capacity
	RecoverySeconds float64 `json:"recovery_seconds"`   // to 95 % of the goodput before, 0.. after the return
}

type admissionFlags struct {
	seed    uint64
	engines int
	nodes   int
}

func admission() Measure {
	return Measure{
		Name:    "admission",
		Short:   "Goodput, fairness and recovery under overload, over model engines in virtual time",
		Example: "  standin measure admission --seed 1",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &admissionFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals and lengths")
			c.Flags().IntVar(&f.engines, "engines", 48, "engines, a third in each data centre")
			c.Flags().IntVar(&f.nodes, "nodes", 9, "entry nodes, a third in each data centre")
			return func(out io.Writer) (any, error) { return measureAdmission(out, f) }
		},
	}
}

func measureAdmission(out io.Writer, f *admissionFlags) (any, error) {
	result := AdmissionResult{Seed: f.seed, Engines: f.engines, Nodes: f.nodes}
	result.Capacity = round(slotCapacity(f))
	fmt.Fprintf(out, "capacity %.1f requests/s\n", result.Capacity)
	calm := newAdmitRun(f, 0.3*result.Capacity)
	calm.run(40000)
	loaded := newAdmitRun(f, 2*result.Capacity)
	loaded.run(95000)
	bare := newAdmitRun(f, 2*result.Capacity)
	bare.open = true
	bare.run(95000)
	dark := newAdmitRun(f, result.Capacity)
	dark.darkFrom, dark.darkTo = 40000, 70000
	dark.run(130000)
	for _, r := range []*admitRun{calm, loaded, dark} {
		if r.failure != nil {
			return nil, r.failure
		}
	}
	result.LiveUnloaded = calm.live.at(0.99)
	result.LiveLoaded = loaded.live.at(0.99)
	result.LiveFactor = round(result.LiveLoaded / max(result.LiveUnloaded, 1))
	result.LiveFloor = liveFloor(f, 0.2*result.Capacity/float64(f.engines))
	result.Goodput = round(loaded.goodput(30000, 80000) / result.Capacity)
	result.Unmanaged = round(bare.goodput(30000, 80000) / result.Capacity)
	result.BatchShare = round(loaded.classShare(0))
	result.Jain = round(jain(loaded.equals()))
	result.CallsInOutage = round(dark.callsPerRequest())
	result.GoodputInOutage = round(dark.goodput(50000, 70000) / (result.Capacity * 2 / 3))
	result.RecoverySeconds = dark.recovery()
	for _, v := range loaded.views() {
		fmt.Fprintln(out, v)
	}
	return result, nil
}

// jain returns Jain's fairness index, 1 for equal values.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return sum * sum / max(float64(len(values))*squares, 1e-9)
}

// slotCapacity returns the requests per second that the engines answer with full
// batches.
func slotCapacity(f *admissionFlags) float64 {
	line := &timeline{}
	e := &slotEngine{line: line}
	done := 0
	random := newRandom(f.seed, 77)
	var add func()
	add = func() {
		e.add(&job{left: slotWork(random), tokens: slotTokens(random), first: func() {}, ended: func() {
			if line.now > 60000 {
				done++
			}
			add()
		}})
	}
	for range slotBatch + 8 {
		add()
	}
	line.runUntil(360000)
	return float64(done) / 300 * float64(f.engines)
}

// liveFloor returns the live p99 on one engine that runs nine tenths of a full
// batch of other requests and gets live ones at the given rate.
func liveFloor(f *admissionFlags, rate float64) float64 {
	line := &timeline{}
	e := &slotEngine{line: line}
	random := newRandom(f.seed, 78)
	var live sample
	var add, arrive func()
	add = func() {
		e.add(&job{class: 1, left: slotWork(random), tokens: slotTokens(random), first: func() {}, ended: add})
	}
	arrive = func() {
		start := line.now
		e.add(&job{class: 2, left: slotWork(random), tokens: 1, first: func() { live.add(line.now - start + 1) }, ended: func() {}})
		line.after(random.ExpFloat64()/rate*1000, arrive)
	}
	for range slotBatch * 9 / 10 {
		add()
	}
	line.after(30000, arrive)
	line.runUntil(600000)
	return live.at(0.99)
}
