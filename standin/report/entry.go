package report

import "sardineswitch.dev/sardine/standin/gauge"

func buildEntry(line []byte) (Section, error) {
	r, err := decode[gauge.EntryResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Entry node, " + number(r.Rate) + " requests a second"}
	t := Table{
		Title: "Runs",
		Head:  []string{"way", "tokens", "right", "other", "first p50 ms", "first p95 ms", "between p95 ms", "core us/request", "bytes/request"},
	}
	for _, x := range r.Runs {
		t.add(x.Path, x.Tokens, x.Right, x.Other, x.FirstP50, x.FirstP95, x.BetweenP95, x.CoreMicros, x.Bytes)
	}
	s.Tables = []Table{t}
	s.Figures = []Figure{
		figure("added to the first token, p95", r.Entry.FirstP95, "ms"),
		figure("added between tokens, p95", r.Entry.BetweenP95, "ms"),
		figure("processor time a request", r.Entry.RequestMicros, "us"),
		figure("processor time a token", r.Entry.TokenMicros, "us"),
		figure("the same of net/http, a request", r.Floor.RequestMicros, "us"),
		figure("the same of net/http, a token", r.Floor.TokenMicros, "us"),
		figure("allocated a request", r.Entry.RequestBytes, "bytes"),
		figure("core of a node at the target size", r.AtPlannedLoad.CorePercent, "%"),
	}
	s.Plots = []Plot{Bars{Title: "Processor time of a token", Unit: "us", Items: []Bar{
		{"entry", r.Entry.TokenMicros}, {"net/http proxy", r.Floor.TokenMicros},
	}}}
	return s, nil
}
