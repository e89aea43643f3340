package report

// Comparison holds the values of one figure in two versions.
type Comparison struct {
	Section string
	Name    string
	Unit    string
	Old     float64
	New     float64
	Side    Side // shows whether a lower or a higher value is better
}

// Change returns the change from the old to the new value in percent of the old
// one. Known is false if the old value is zero and the new one is not.
func (c Comparison) Change() (percent float64, known bool) {
	if c.Old == 0 {
		return 0, c.New == 0
	}
	return (c.New - c.Old) / c.Old * 100, true
}

// Compare pairs the figures that both versions have, in the order of the new
// ones. Sections are matched by title, and most titles contain the size of the
// run, so that runs of different sizes are not compared.
func Compare(older, newer []Section) []Comparison {
	type key struct{ section, name string }
	values := make(map[key]float64)
	for _, s := range older {
		for _, f := range s.Figures {
			values[key{s.Title, f.Name}] = f.Value
		}
	}
	var pairs []Comparison
	for _, s := range newer {
		for _, f := range s.Figures {
			if old, found := values[key{s.Title, f.Name}]; found {
				pairs = append(pairs, Comparison{s.Title, f.Name, f.Unit, old, f.Value, f.Side})
			}
		}
	}
	return pairs
}
