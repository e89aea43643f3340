package report

import "strings"

// Markdown renders the page as Markdown with the plots as inline SVG.
func (p Page) Markdown() string {
	var b strings.Builder
	b.WriteString("# Measures of sardineswitch\n\n")
	if missed := missedBoundsTable(p.Sections); len(missed.Rows) > 0 {
		markdownTable(&b, missed)
	}
	if len(p.Comparisons) > 0 {
		markdownTable(&b, comparisonTable(p.Comparisons))
	}
	for _, s := range p.Sections {
		b.WriteString("## " + s.Title + "\n\n" + originLine(s.Origin) + "\n\n")
		markdownTable(&b, figureTable(s))
		for _, t := range s.Tables {
			markdownTable(&b, t)
		}
		for _, x := range s.Plots {
			b.WriteString(x.SVG() + "\n\n")
		}
	}
	return b.String()
}

func markdownTable(b *strings.Builder, t Table) {
	if t.Title != "" {
		b.WriteString("### " + t.Title + "\n\n")
	}
	markdownRow(b, t.Head)
	b.WriteString("|" + strings.Repeat(" --- |", len(t.Head)) + "\n")
	for _, row := range t.Rows {
		markdownRow(b, row)
	}
	b.WriteString("\n")
}

func markdownRow(b *strings.Builder, cells []string) {
	for _, c := range cells {
		b.WriteString("| " + strings.ReplaceAll(c, "|", "\\|") + " ")
	}
	b.WriteString("|\n")
}
