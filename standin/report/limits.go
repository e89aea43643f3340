package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

func buildLimits(line []byte) (Section, error) {
	r, err := decode[gauge.LimitsResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Limits over all entry nodes"}
	t := Table{
		Title: "Shares of the limit",
		Head:  []string{"case", "nodes", "limit", "offered", "got", "highest 10 s", "evenly divided", "bytes/s"},
	}
	bars := Bars{Title: "Got of the limit", Unit: "share"}
	for _, c := range r.Cases {
		t.add(c.Name, c.Nodes, c.Limit, c.Offered, c.Admitted, c.Highest, c.EvenlyDivided, c.BytesPerSec)
		name := fmt.Sprintf("%s, %d nodes, %s/s", c.Name, c.Nodes, number(c.Limit))
		bars.Items = append(bars.Items, Bar{Name: name, Value: c.Admitted})
		s.Figures = append(s.Figures, figure("got, "+name, c.Admitted, "of the limit"))
	}
	s.Tables = []Table{t}
	s.Plots = []Plot{bars}
	return s, nil
}
