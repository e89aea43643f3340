package report

// Page is the content of a report.
type Page struct {
	Sections    []Section
	Comparisons []Comparison // figures of two versions; empty if no older version is given
}

// figureTable returns the figures of a section with their bounds as a table.
func figureTable(s Section) Table {
	t := Table{Head: []string{"figure", "value", "unit", "bound", "verdict"}}
	for _, f := range s.Figures {
		t.add(f.Name, f.Value, f.Unit, f.BoundText(), f.Verdict())
	}
	return t
}

// comparisonTable returns the figures of two versions as a table.
func comparisonTable(pairs []Comparison) Table {
	t := Table{Title: "Two versions compared", Head: []string{"measure", "figure", "unit", "old", "new", "change"}}
	for _, p := range pairs {
		change := "from 0"
		if percent, known := p.Change(); known {
			change = formatNumber(percent) + " %"
		}
		t.add(p.Section, p.Name, p.Unit, p.Old, p.New, change)
	}
	return t
}

// missedBoundsTable returns the figures of all sections that miss their bounds.
func missedBoundsTable(sections []Section) Table {
	t := Table{Title: "Bounds missed", Head: []string{"measure", "figure", "value", "unit", "bound"}}
	for _, s := range sections {
		for _, f := range s.Figures {
			if !f.MeetsBound() {
				t.add(s.Title, f.Name, f.Value, f.Unit, f.BoundText())
			}
		}
	}
	return t
}

// originLine describes how a section's result was produced.
func originLine(o Origin) string {
	if o.Command == "" {
		return "Origin not recorded."
	}
	return o.Command + ", commit " + o.Commit + ", " + o.Date
}
