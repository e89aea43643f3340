package report

import "sardineswitch.dev/sardine/standin/gauge"

func buildSettings(line []byte) (Section, error) {
	r, err := decode[gauge.SettingsResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Settings, leases and spread under faults"}
	t := Table{
		Title: "Events over all runs",
		Head:  []string{"seeds", "steps", "admissions", "refusals without lease", "accepted", "of these resent", "races lost", "unanswered"},
	}
	t.add(r.Seeds, r.Steps, r.Admissions, r.Refusals, r.Accepted, r.Resent, r.LostRaces, r.Unanswered)
	s.Tables = []Table{t}
	s.Figures = []Figure{atMost("failed runs", float64(len(r.Failed)), "", 0)}
	return s, nil
}
