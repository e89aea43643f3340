package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

// Bounds of the admission measure.
const (
	minGoodput         = 0.90 // share of the capacity, at an offered load of twice the capacity
	maxLiveFactor      = 1.5  // p99 of live cues under overload, relative to the unloaded p99
	minJain            = 0.95
	maxCallsPerRequest = 1.1 // dispatches per request while a data centre is down
	maxRecoverySeconds = 10
)

func buildAdmission(line []byte) (Section, error) {
	r, err := decode[gauge.AdmissionResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Admission, %d engines, %d entry nodes", r.Engines, r.Nodes)}
	s.Figures = []Figure{
		atLeast("goodput at twice the capacity", r.Goodput, "of capacity", minGoodput),
		figure("the same without admission", r.Unmanaged, "of capacity"),
		atMost("live p99 over unloaded", r.LiveFactor, "times", maxLiveFactor),
		atLeast("Jain fairness among equals", r.Jain, "", minJain),
		atMost("upstream calls a request, a data centre dark", r.CallsInOutage, "calls", maxCallsPerRequest),
		figure("goodput, a data centre dark", r.GoodputInOutage, "of what is left"),
		atMost("return to 95 % goodput", r.RecoverySeconds, "s", maxRecoverySeconds),
	}
	s.Plots = []Plot{BarChart{Title: "p99 of live cues", Unit: "ms", Items: []Bar{
		{"unloaded", r.LiveUnloaded},
		{"twice the capacity", r.LiveLoaded},
		{"one engine at 90 %", r.LiveFloor},
	}}}
	return s, nil
}
