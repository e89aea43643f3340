package report

import (
	"os"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// Lines of docs/MEASURES.md that enclose the generated tables.
const (
	beginMarker = "<!-- measures: begin -->"
	endMarker   = "<!-- measures: end -->"
	pageMode    = 0o644
)

// ReplaceTables replaces the text between the markers of a page by the tables of
// figures. The rest of the page stays unchanged.
func ReplaceTables(page string, sections []Section) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker)
	if !found {
		return "", codes.New(codes.BadRequest, "found no line %q in the page", beginMarker)
	}
	_, after, found := strings.Cut(rest, endMarker)
	if !found {
		return "", codes.New(codes.BadRequest, "found no line %q after %q in the page", endMarker, beginMarker)
	}
	return before + beginMarker + "\n\n" + figureTables(sections) + endMarker + after, nil
}

// ReplaceTablesInFile replaces the tables of figures in a file, as ReplaceTables does.
func ReplaceTablesInFile(path string, sections []Section) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return codes.Wrap(codes.BadRequest, err, "reading the page of measures")
	}
	page, err := ReplaceTables(string(text), sections)
	if err != nil {
		return codes.Wrap(codes.BadRequest, err, path)
	}
	return os.WriteFile(path, []byte(page), pageMode)
}

func figureTables(sections []Section) string {
	var b strings.Builder
	missed := missedBoundsTable(sections)
	if len(missed.Rows) == 0 {
		b.WriteString("### Bounds missed\n\nNone in these runs.\n\n")
	} else {
		markdownTable(&b, missed)
	}
	for _, s := range sections {
		b.WriteString("### " + s.Title + "\n\n" + originLine(s.Origin) + "\n\n")
		markdownTable(&b, figureTable(s))
	}
	return b.String()
}
