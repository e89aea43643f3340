package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// AdmissionResult is the result of the admission measurement.
type AdmissionResult struct {
	Seed            uint64  `json:"seed"`
	Engines         int     `json:"engines"`
	Nodes           int     `json:"nodes"`
	Capacity        float64 `json:"capacity_per_second"`
	Goodput         float64 `json:"goodput_share"`        // of the capacity, when twice the capacity is offered
	Unmanaged       float64 `json:"no_admission_share"`   // the same without admission control
	LiveUnloaded    float64 `json:"live_p99_unloaded_ms"` // when 30 % of the capacity is offered
	LiveLoaded      float64 `json:"live_p99_loaded_ms"`
	LiveFactor      float64 `json:"live_p99_factor"`
	LiveFloor       float64 `json:"live_p99_floor_ms"`      // on one engine at 90 % of its capacity, without routing
	BatchShare      float64 `json:"batch_share"`            // of the answers, when twice the capacity is offered
	Jain            float64 `json:"jain"`                   // fairness among workspaces of equal weight that offer unequal loads
	CallsInOutage   float64 `json:"calls_per_request_dark"` // during the outage of a data centre and shortly after it
	GoodputInOutage float64 `json:"goodput_dark_share"`     // of the remaining capacity
	RecoverySeconds float64 `json:"recovery_seconds"`       // from the end of the outage to 95 % of the goodput before it, -1 if never
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
	result.Capacity = round(fullBatchCapacity(f))
	fmt.Fprintf(out, "capacity %.1f requests/s\n", result.Capacity)
	light := newAdmitRun(f, 0.3*result.Capacity)
	light.run(40000)
	loaded := newAdmitRun(f, 2*result.Capacity)
	loaded.run(95000)
	unmanaged := newAdmitRun(f, 2*result.Capacity)
	unmanaged.unmanaged = true
	unmanaged.run(95000)
	outage := newAdmitRun(f, result.Capacity)
	outage.outageFrom, outage.outageTo = 40000, 70000
	outage.run(130000)
	for _, r := range []*admitRun{light, loaded, outage} {
		if r.failure != nil {
			return nil, r.failure
		}
	}
	result.LiveUnloaded = light.live.quantile(0.99)
	result.LiveLoaded = loaded.live.quantile(0.99)
	result.LiveFactor = round(result.LiveLoaded / max(result.LiveUnloaded, 1))
	result.LiveFloor = liveFloor(f, 0.2*result.Capacity/float64(f.engines))
	result.Goodput = round(loaded.goodput(30000, 80000) / result.Capacity)
	result.Unmanaged = round(unmanaged.goodput(30000, 80000) / result.Capacity)
	result.BatchShare = round(loaded.classShare(0))
	result.Jain = round(jain(loaded.equalWorkspaceAnswers()))
	result.CallsInOutage = round(outage.callsPerRequest())
	result.GoodputInOutage = round(outage.goodput(50000, 70000) / (result.Capacity * 2 / 3))
	result.RecoverySeconds = outage.recovery()
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

// fullBatchCapacity returns the requests per second that the engines answer when
// their batches are full.
func fullBatchCapacity(f *admissionFlags) float64 {
	clock := &timeline{}
	e := &priorityEngine{clock: clock}
	done := 0
	random := newRandom(f.seed, 77)
	var add func()
	add = func() {
		e.add(&job{left: drawPrefill(random), tokens: drawTokens(random), first: func() {}, ended: func() {
			if clock.now > 60000 {
				done++
			}
			add()
		}})
	}
	for range priorityBatch + 8 {
		add()
	}
	clock.runUntil(360000)
	return float64(done) / 300 * float64(f.engines)
}

// liveFloor returns the p99 time to first token of live requests that arrive at
// the given rate at one engine, which runs other requests in nine tenths of its
// batch.
func liveFloor(f *admissionFlags, rate float64) float64 {
	clock := &timeline{}
	e := &priorityEngine{clock: clock}
	random := newRandom(f.seed, 78)
	var live sample
	var add, arrive func()
	add = func() {
		e.add(&job{class: 1, left: drawPrefill(random), tokens: drawTokens(random), first: func() {}, ended: add})
	}
	arrive = func() {
		start := clock.now
		e.add(&job{class: 2, left: drawPrefill(random), tokens: 1, first: func() { live.add(clock.now - start + 1) }, ended: func() {}})
		clock.after(random.ExpFloat64()/rate*1000, arrive)
	}
	for range priorityBatch * 9 / 10 {
		add()
	}
	clock.after(30000, arrive)
	clock.runUntil(600000)
	return live.quantile(0.99)
}
