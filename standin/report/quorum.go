package report

import "sardineswitch.dev/sardine/standin/gauge"

func buildQuorum(line []byte) (Section, error) {
	r, err := decode[gauge.QuorumResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: "Replicated log under faults"}
	t := Table{
		Title: "Events over all runs",
		Head:  []string{"seeds", "steps", "entries", "reads", "snapshots", "installs", "tail cuts", "refused", "emptied", "member changes"},
	}
	t.add(r.Seeds, r.Steps, r.Entries, r.Reads, r.Snapshots, r.Installs, r.TruncatedTails, r.RefusedDamaged, r.LostFolders, r.Changes)
	s.Tables = []Table{t}
	s.Figures = []Figure{
		atMost("violations", float64(r.Violations), "", 0),
		figure("failover p50", float64(r.FailoverP50), "ms"),
		figure("failover max", float64(r.FailoverMax), "ms"),
	}
	return s, nil
}
