package report

import (
	"strings"

	"sardineswitch.dev/sardine/standin/gauge"
)

func buildScale(line []byte) (Section, error) {
	r, err := decode[gauge.ScaleResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Cost of control by role"}
	t := Table{
		Title: "Straight lines over the number of entry nodes",
		Head:  []string{"role", "cost", "sizes", "base", "a node", "residual", "at 350 nodes", "budget", "within"},
	}
	for _, l := range r.Slopes {
		t.add(l.Role, l.Cost, l.Sizes, l.Base, l.PerNode, l.Residual, l.AtPlannedSize, l.Budget, l.Within)
		unit := unitOf(l.Cost)
		s.Figures = append(s.Figures, atMost(l.Role+", "+l.Cost+" at 350 nodes", l.AtPlannedSize, unit, l.Budget))
	}
	s.Tables = []Table{t}
	s.Plots = []Plot{
		slopePlot(r, "http2_tcp_bytes_per_s", func(x gauge.Spent) float64 { return x.TCPBytes }),
		slopePlot(r, "core_share_percent", func(x gauge.Spent) float64 { return x.CorePercent }),
	}
	return s, nil
}

func unitOf(cost string) string {
	switch {
	case strings.HasSuffix(cost, "_per_s"):
		return "bytes/s"
	case strings.HasSuffix(cost, "_percent"):
		return "% of a core"
	default:
		return "bytes"
	}
}

func slopePlot(r gauge.ScaleResult, cost string, value func(gauge.Spent) float64) Lines {
	l := Lines{Title: cost + " over entry nodes"}
	for _, x := range r.Slopes {
		if x.Cost != cost {
			continue
		}
		item := Line{Name: x.Role, Base: x.Base, Slope: x.PerNode}
		for _, p := range r.Points {
			for _, spent := range p.Roles {
				if spent.Role == x.Role {
					item.X = append(item.X, float64(p.Nodes))
					item.Y = append(item.Y, value(spent))
				}
			}
		}
		l.Items = append(l.Items, item)
	}
	return l
}
