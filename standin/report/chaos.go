package report

import (
	"maps"
	"slices"

	"sardineswitch.dev/sardine/standin/chaos"
	"sardineswitch.dev/sardine/standin/pledge"
)

func buildChaos(line []byte) (Section, error) {
	r, err := decode[chaos.Result](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Site of real nodes under faults"}
	answers := Table{Title: "Answers", Head: []string{"requests", "right", "not run", "ran", "unknown", "broken"}}
	addCounts(&answers, "chats", r.Chats)
	addCounts(&answers, "bookings", r.Bookings)
	faults := Table{Title: "Faults", Head: []string{"fault", "times"}}
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		faults.add(name, r.Faults[name])
	}
	s.Tables = []Table{answers, faults}
	s.Figures = []Figure{
		atMost("violations", float64(len(r.Violations)), "", 0),
		figure("last fault to all groups serving", float64(r.RecoveryMS), "ms"),
	}
	return s, nil
}

func addCounts(t *Table, name string, c pledge.Counts) {
	t.add(name, c.Correct, c.NotRun, c.Ran, c.Unknown, c.Incomplete)
}
