package report

// Page is all that a report shows.
type Page struct {
	Sections []Section
	Pairs    []Comparison // empty without an older version
}

// figureTable returns the figures of a section as a table.
func figureTable(s Section) Table {
	t := Table{Head: []string{"figure", "value", "unit", "bound", "verdict"}}
	for _, f := range s.Figures {
		t.add(f.Name, f.Value, f.Unit, f.BoundText(), f.Verdict())
	}
	return t
}

// pairTable returns the comparison as a table.
func pairTable(pairs []Comparison) Table {
	t := Table{Title: "Two versions compared", Head: []string{"measure", "figure", "unit", "old", "new", "change"}}
	for _, p := range pairs {
		change := "from 0"
		if percent, known := p.Change(); known {
			change = number(percent) + " %"
		}
		t.add(p.Section, p.Name, p.Unit, p.Old, p.New, change)
	}
	return t
}

// missedTable returns the figures that miss their bounds.
func missedTable(sections []Section) Table {
	t := Table{Title: "Bounds missed", Head: []string{"measure", "figure", "value", "unit", "bound"}}
	for _, s := range sections {
		for _, f := range s.Figures {
			if !f.Met() {
				t.add(s.Title, f.Name, f.Value, f.Unit, f.BoundText())
			}
		}
	}
	return t
}

// originLine tells how a section's result was made.
func originLine(o Origin) string {
	if o.Command == "" {
		return "Origin not recorded."
	}
	return o.Command + ", commit " + o.Commit + ", " + o.Date
}
