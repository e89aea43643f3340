package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

// Bounds of admission under overload.
const (
	leastGoodput    = 0.90 // of the capacity, at twice the capacity
	mostLiveFactor  = 1.5  // p99 of live cues over unloaded
	leastJain       = 0.95
	mostCalls       = 1.1 // upstream calls a request with a data centre dark
	mostRecoverySec = 10
)

func buildAdmission(line []byte) (Section, error) {
	r, err := decode[gauge.AdmissionResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Admission, %d engines, %d entry nodes", r.Engines, r.Nodes)}
	s.Figures = []Figure{
		atLeast("goodput at twice the capacity", r.Goodput, "of capacity", leastGoodput),
		figure("the same without admission", r.Unmanaged, "of capacity"),
		atMost("live p99 over unloaded", r.LiveFactor, "times", mostLiveFactor),
		atLeast("Jain fairness among equals", r.Jain, "", leastJain),
		atMost("upstream calls a request, a data centre dark", r.CallsInOutage, "calls", mostCalls),
		figure("goodput, a data centre dark", r.GoodputInOutage, "of what is left"),
		atMost("return to 95 % goodput", r.RecoverySeconds, "s", mostRecoverySec),
	}
	s.Plots = []Plot{Bars{Title: "p99 of live cues", Unit: "ms", Items: []Bar{
		{"unloaded", r.LiveUnloaded},
		{"twice the capacity", r.LiveLoaded},
		{"one engine at 90 %", r.LiveFloor},
	}}}
	return s, nil
}
