package report

// failure is the line that .ci/measures writes for a measure that ended with an
// error.
type failure struct {
	Measure string `json:"failed_measure"`
	Reason  string `json:"reason"`
}

func buildFailed(line []byte) (Section, error) {
	r, err := decode[failure](line)
	if err != nil {
		return Section{}, err
	}
	t := Table{Title: "Reason", Head: []string{"measure", "last line of its errors"}}
	t.add(r.Measure, r.Reason)
	return Section{
		Title:   "Measure " + r.Measure + " ended with an error",
		Figures: []Figure{atMost("runs that ended with an error", 1, "", 0)},
		Tables:  []Table{t},
	}, nil
}
