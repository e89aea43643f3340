package report

import (
	"html"
	"strings"
)

const htmlHead = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Measures of sardineswitch</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}svg{display:block;margin:1em 0}</style></head><body>
<h1>Measures of sardineswitch</h1>
`

// HTML renders the page as a self-contained HTML document.
func (p Page) HTML() string {
	var b strings.Builder
	b.WriteString(htmlHead)
	if missed := missedBoundsTable(p.Sections); len(missed.Rows) > 0 {
		htmlTable(&b, missed)
	}
	if len(p.Comparisons) > 0 {
		htmlTable(&b, comparisonTable(p.Comparisons))
	}
	for _, s := range p.Sections {
		b.WriteString("<h2>" + html.EscapeString(s.Title) + "</h2>\n")
		b.WriteString("<p>" + html.EscapeString(originLine(s.Origin)) + "</p>\n")
		htmlTable(&b, figureTable(s))
		for _, t := range s.Tables {
			htmlTable(&b, t)
		}
		for _, x := range s.Plots {
			b.WriteString(x.SVG() + "\n")
		}
	}
	b.WriteString("</body></html>\n")
	return b.String()
}

func htmlTable(b *strings.Builder, t Table) {
	if t.Title != "" {
		b.WriteString("<h3>" + html.EscapeString(t.Title) + "</h3>\n")
	}
	b.WriteString("<table>\n")
	htmlRow(b, "th", t.Head)
	for _, row := range t.Rows {
		htmlRow(b, "td", row)
	}
	b.WriteString("</table>\n")
}

func htmlRow(b *strings.Builder, tag string, cells []string) {
	b.WriteString("<tr>")
	for _, c := range cells {
		b.WriteString("<" + tag + ">" + html.EscapeString(c) + "</" + tag + ">")
	}
	b.WriteString("</tr>\n")
}
