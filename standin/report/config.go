package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

func buildConfig(line []byte) (Section, error) {
	r, err := decode[gauge.ConfigResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Settings in force, %d nodes, failure %s, %s", r.Nodes, r.Fail, r.Policy)}
	t := Table{Title: "Latencies, ms", Head: []string{"from, to", "p50", "p99", "max"}}
	addLatency(&t, "submitted to accepted", r.Accepted)
	addLatency(&t, "submitted to the last live node", r.InForce)
	addLatency(&t, "new leader to accepted", r.SinceNewLeader)
	bound := float64(r.BoundMs)
	s.Figures = []Figure{
		atMost("accepted, max", float64(r.Accepted.Max), "ms", bound),
		atMost("in force, max", float64(r.InForce.Max), "ms", bound),
		atMost("breaches", float64(r.Violations), "", 0),
	}
	if r.Fail == "leader" {
		s.Figures = append(s.Figures, atMost("leader loss to accepted, max", float64(r.Accepted.Max), "ms", mostFailover))
	}
	s.Tables = []Table{t}
	s.Plots = []Plot{Bars{Title: s.Title, Unit: "ms", Items: []Bar{
		{"accepted p50", float64(r.Accepted.P50)},
		{"accepted p99", float64(r.Accepted.P99)},
		{"accepted max", float64(r.Accepted.Max)},
		{"in force p50", float64(r.InForce.P50)},
		{"in force p99", float64(r.InForce.P99)},
		{"in force max", float64(r.InForce.Max)},
	}}}
	return s, nil
}

func addLatency(t *Table, name string, l gauge.Latency) {
	t.add(name, l.P50, l.P99, l.Max)
}
