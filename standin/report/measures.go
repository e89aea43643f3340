package report

import (
	"os"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// The lines of docs/MEASURES.md between which the tables stand.
const (
	beginMark = "<!-- measures: begin -->"
	endMark   = "<!-- measures: end -->"
	pageMode  = 0o644
)

// Rewrite puts the tables of figures between the marks of a page and leaves the
// rest of it as it is.
func Rewrite(page string, sections []Section) (string, error) {
	before, rest, found := strings.Cut(page, beginMark)
	if !found {
		return "", codes.New(codes.BadRequest, "found no line %q in the page", beginMark)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return "", codes.New(codes.BadRequest, "found no line %q after %q in the page", endMark, beginMark)
	}
	return before + beginMark + "\n\n" + figureTables(sections) + endMark + after, nil
}

// RewriteFile is Rewrite of a file.
func RewriteFile(path string, sections []Section) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return codes.Wrap(codes.BadRequest, err, "reading the page of measures")
	}
	page, err := Rewrite(string(text), sections)
	if err != nil {
		return codes.Wrap(codes.BadRequest, err, path)
	}
	return os.WriteFile(path, []byte(page), pageMode)
}

func figureTables(sections []Section) string {
	var b strings.Builder
	missed := missedTable(sections)
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
