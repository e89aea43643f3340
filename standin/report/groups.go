package report

import (
	"fmt"

	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/standin/gauge"
)

// Bounds of the processor time of a planning round in milliseconds.
const (
	maxMeanRound  = 50
	maxWorstRound = 250
)

func buildGroups(line []byte) (Section, error) {
	r, err := decode[gauge.GroupsResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Groups, %s, %s, objective %s", r.Schedule, r.Policy, r.Objective)}
	s.Figures = []Figure{
		figure("group downtime", r.Downtime, "group-s"),
		figure("floor with a loaded spare", r.FloorSpare, "group-s"),
		figure("floor with a load", r.FloorLoad, "group-s"),
		figure("stranded accelerators", r.Stranded, "accelerator-s"),
		atMost("planning round, mean", r.MeanRound, "ms", maxMeanRound),
		atMost("planning round, worst", r.WorstRound, "ms", maxWorstRound),
	}
	return s, nil
}

func buildGroupMeans(line []byte) (Section, error) {
	rows, err := decode[[]gauge.GroupsMean](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Groups, %s, all policies, %d seeds each", schedulesOf(rows), rows[0].Seeds)}
	t := Table{
		Title: "Means by schedule and policy",
		Head:  []string{"objective", "schedule", "policy", "downtime, group-s", "stranded, accelerator-s", "weighted", "best"},
	}
	for _, r := range rows {
		t.add(r.Objective, r.Schedule, r.Policy, r.Downtime, r.Stranded, r.Weighted, r.Best)
	}
	s.Tables = []Table{t}
	for _, o := range schedulePairs(rows) {
		s.addPolicyPlots(rows, o[0], o[1])
	}
	return s, nil
}

// schedulesOf returns the name of the schedule if all rows have the same one,
// otherwise "several schedules".
func schedulesOf(rows []gauge.GroupsMean) string {
	for _, r := range rows {
		if r.Schedule != rows[0].Schedule {
			return "several schedules"
		}
	}
	return rows[0].Schedule
}

// schedulePairs returns the pairs of objective and schedule in the order of
// the rows.
func schedulePairs(rows []gauge.GroupsMean) [][2]string {
	var pairs [][2]string
	for _, r := range rows {
		pair := [2]string{r.Objective, r.Schedule}
		if len(pairs) == 0 || pairs[len(pairs)-1] != pair {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// addPolicyPlots adds the plots of one objective and schedule, and a figure that
// bounds the weighted cost of the product's default policy by that of the best
// other policy.
func (s *Section) addPolicyPlots(rows []gauge.GroupsMean, objective, schedule string) {
	label := objective + ", " + schedule
	down := BarChart{Title: "Group downtime, " + label, Unit: "group-seconds"}
	stranded := BarChart{Title: "Stranded accelerators, " + label, Unit: "accelerator-seconds"}
	shipped, others := -1.0, -1.0
	for _, r := range rows {
		if r.Objective != objective || r.Schedule != schedule {
			continue
		}
		down.Items = append(down.Items, Bar{Name: r.Policy, Value: r.Downtime})
		stranded.Items = append(stranded.Items, Bar{Name: r.Policy, Value: r.Stranded})
		switch {
		case r.Policy == plan.NewCheapest().Name():
			shipped = r.Weighted
		case others < 0 || r.Weighted < others:
			others = r.Weighted
		}
	}
	s.Plots = append(s.Plots, down, stranded)
	if shipped >= 0 && others >= 0 {
		s.Figures = append(s.Figures, atMost("weighted, "+label, shipped, "", others))
	}
}
