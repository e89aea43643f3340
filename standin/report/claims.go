package report

import (
	"strconv"

	"sardineswitch.dev/sardine/standin/gauge"
)

func buildClaims(line []byte) (Section, error) {
	r, err := decode[gauge.ClaimsResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Claims of idempotency keys, " + number(r.RequestedRate) + " a second"}
	t := Table{
		Title: "Added latency by data centre, ms",
		Head:  []string{"data centre", "floor", "p50", "p99"},
	}
	bars := Bars{Title: "Added latency, p99", Unit: "ms"}
	for _, c := range r.Centres {
		t.add(c.Centre, c.Floor, c.P50, c.P99)
		name := "data centre " + strconv.Itoa(c.Centre)
		bars.Items = append(bars.Items, Bar{Name: name, Value: c.P99})
		s.Figures = append(s.Figures, figure("p99, "+name, c.P99, "ms"))
	}
	s.Figures = append(s.Figures,
		figure("claims a second of the core", r.CorePerSecond, "a second"),
		figure("claims a second through the log", r.LogPerSecond, "a second"),
	)
	s.Tables = []Table{t}
	s.Plots = []Plot{bars}
	return s, nil
}
