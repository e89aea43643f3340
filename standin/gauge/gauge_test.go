package gauge

import (
	"io"
	"testing"
)

// TestMixedBeatsEveryBaseline runs the routing measurement small.
func TestMixedBeatsEveryBaseline(t *testing.T) {
	f := &routingFlags{seed: 5, workers: 20, nodes: 9, seconds: 30, rate: 6.2, samples: 2, places: 2, spread: 3, least: 1, regard: 0.5}
	result, err := measureRouting(io.Discard, f)
	if err != nil {
		t.Fatal(err)
	}
	p95 := map[string]float64{}
	for _, p := range result.(RoutingResult).Policies {
		p95[p.Policy] = p.P95
	}
	for _, baseline := range []string{"random", "least_in_flight", "two_choices", "rendezvous", "hints"} {
		if p95["mixed"] >= p95[baseline] {
			t.Errorf("mixed %.1f ms, %s %.1f ms", p95["mixed"], baseline, p95[baseline])
		}
	}
}

// TestOverloadStaysCalm runs the admission measurement small. It checks the
// bounds that the full measurement meets.
func TestOverloadStaysCalm(t *testing.T) {
	result, err := measureAdmission(io.Discard, &admissionFlags{seed: 5, engines: 12, nodes: 3})
	if err != nil {
		t.Fatal(err)
	}
	r := result.(AdmissionResult)
	if r.Jain < 0.95 || r.CallsInOutage > 1.1 || r.RecoverySeconds < 0 || r.RecoverySeconds > 10 || r.Goodput < 2*r.Unmanaged {
		t.Errorf("%+v", r)
	}
}

// TestClaimsAddNoMoreThanTheirRoundTrips checks the median against the floor,
// two syncs and a tick.
func TestClaimsAddNoMoreThanTheirRoundTrips(t *testing.T) {
	result, err := measureClaims(io.Discard, &claimsFlags{seed: 5, rate: 100, seconds: 10, oneWay: 0.5, sync: 1})
	if err != nil {
		t.Fatal(err)
	}
	r := result.(ClaimsResult)
	if r.Resends == 0 {
		t.Error("no resend got the answer")
	}
	for _, c := range r.Centres {
		if c.P50 > c.Floor+2 {
			t.Errorf("%+v", c)
		}
	}
}

// TestLimitsHold checks that no pattern of arrivals passes its limit by a tenth
// and that the lender's own check holds throughout.
func TestLimitsHold(t *testing.T) {
	for _, c := range limitCases() {
		if c.nodes > 9 {
			continue
		}
		r := newLimitRun(5, c, true)
		r.run()
		if r.failure != nil || r.highest() > 1.1 {
			t.Errorf("%s: %v, highest %.3f", c.name, r.failure, r.highest())
		}
	}
}
