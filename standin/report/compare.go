package report

// Comparison is one figure of two versions.
type Comparison struct {
	Section string
	Name    string
	Unit    string
	Old     float64
	New     float64
	Side    Side // of the bound, which tells which way is better
}

// Change returns the new value over the old one in percent, and false if the old
// one is zero.
func (c Comparison) Change() (percent float64, known bool) {
	if c.Old == 0 {
		return 0, c.New == 0
	}
	return (c.New - c.Old) / c.Old * 100, true
}

// Compare pairs the figures that both versions have, in the order of the new
// ones. Sections pair by their titles, so only runs of equal size do.
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
