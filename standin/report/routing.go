package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

// maxOracleFactor bounds the p95 of the product's policy relative to that of the
// oracle.
const maxOracleFactor = 1.05

// baselines are the policies that the product's policy must not be slower than.
var baselines = [...]string{"random", "least_in_flight", "two_choices", "rendezvous", "hints"}

func buildRouting(line []byte) (Section, error) {
	r, err := decode[gauge.RoutingResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Routing, %d workers, %d entry nodes", r.Workers, r.Nodes)}
	t := Table{
		Title: "Time to first token by policy, ms",
		Head:  []string{"policy", "mean", "p50", "p95", "p99", "hit share", "load skew", "hint accuracy"},
	}
	bars := BarChart{Title: "Time to first token, p95", Unit: "ms"}
	for _, p := range r.Policies {
		t.add(p.Policy, p.Mean, p.P50, p.P95, p.P99, p.HitShare, p.LoadSkew, p.HintAccuracy)
		bars.Items = append(bars.Items, Bar{Name: p.Policy, Value: p.P95})
	}
	s.Tables = []Table{t}
	s.Plots = []Plot{bars}
	s.Figures = routingFigures(r)
	return s, nil
}

func routingFigures(r gauge.RoutingResult) []Figure {
	p95 := make(map[string]float64)
	for _, p := range r.Policies {
		p95[p.Policy] = p.P95
	}
	shipped, found := p95["mixed"]
	if !found {
		return nil
	}
	figures := []Figure{figure("p95 of mixed", shipped, "ms")}
	if oracle := p95["oracle"]; oracle > 0 {
		figures = append(figures, atMost("p95 of mixed over the oracle", shipped/oracle, "times", maxOracleFactor))
	}
	for _, name := range baselines {
		if other, found := p95[name]; found {
			figures = append(figures, atMost("p95 of mixed against "+name, shipped, "ms", other))
		}
	}
	return figures
}
