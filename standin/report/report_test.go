package report

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func loadTestdata(t *testing.T) []Section {
	t.Helper()
	sections, err := LoadAll([]string{"testdata"})
	require.NoError(t, err)
	return sections
}

func TestEveryKindHasOneTestdataFile(t *testing.T) {
	seen := make(map[string]bool)
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		fields, err := topLevelFields([]byte(lines[len(lines)-1]))
		require.NoError(t, err)
		for _, k := range kinds() {
			if hasAll(fields, k.keys) {
				require.False(t, seen[k.name], "%s matches the kind %s once more", f, k.name)
				seen[k.name] = true
			}
		}
	}
	for _, k := range kinds() {
		require.True(t, seen[k.name], "no stored result of %s", k.name)
	}
}

func TestPagesShowAllSections(t *testing.T) {
	sections := loadTestdata(t)
	p := Page{Sections: sections, Comparisons: Compare(sections, sections)}
	require.NotEmpty(t, p.Comparisons)
	page, markdown := p.HTML(), p.Markdown()
	for _, s := range sections {
		require.Contains(t, page, s.Title)
		require.Contains(t, markdown, "## "+s.Title)
		require.NotEmpty(t, s.Figures, s.Title)
		for _, table := range s.Tables {
			for _, row := range table.Rows {
				require.Len(t, row, len(table.Head), table.Title)
			}
		}
		for _, x := range s.Plots {
			requireXML(t, x.SVG())
		}
	}
	require.NotContains(t, page, "NaN")
}

func requireXML(t *testing.T, text string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for _, c := range []struct{ text, message string }{
		{"", "empty file"},
		{"a table\nof text", "line 2 is not JSON"},
		{"7", "neither a JSON object nor a list"},
		{"[]", "neither a JSON object nor a list"},
		{`{"colour":"red"}`, "no known measure"},
		{`{"cases":[],"seed":1,"newer":2}`, "another version"},
		{`{"cases":"none"}`, "another version"},
		{"# {\n" + `{"cases":[]}`, "line 1, the origin"},
	} {
		_, err := Parse([]byte(c.text))
		require.ErrorContains(t, err, c.message, c.text)
	}
	_, err := LoadAll([]string{"testdata/absent.json"})
	require.ErrorContains(t, err, "absent.json")
	_, err = LoadAll([]string{t.TempDir()})
	require.ErrorContains(t, err, "found no file NAME.json")
}

func TestOriginIsShown(t *testing.T) {
	s, err := Parse([]byte(`# {"command":"standin measure limits --seed 3","commit":"abc","date":"2026-12-04"}` + "\ntext\n" + `{"seed":3,"cases":[]}`))
	require.NoError(t, err)
	page := Page{Sections: []Section{s}}.Markdown()
	require.Contains(t, page, "standin measure limits --seed 3, commit abc, 2026-12-04")
}

func TestMissedBoundsComeFirst(t *testing.T) {
	s := Section{Title: "Log", Figures: []Figure{
		atMost("restart", 1001, "ms", 1000),
		atLeast("goodput", 0.9, "", 0.9),
		figure("rate", 7, "a second"),
	}}
	missed := missedBoundsTable([]Section{s})
	require.Equal(t, [][]string{{"Log", "restart", "1001", "ms", "at most 1000"}}, missed.Rows)
	require.Equal(t, "met", s.Figures[1].Verdict())
	require.Empty(t, s.Figures[2].Verdict())
}

func TestFailedMeasureMissesABound(t *testing.T) {
	s, err := Parse([]byte(`{"failed_measure":"chaos","reason":"seed 1: 2 violations"}`))
	require.NoError(t, err)
	require.Len(t, missedBoundsTable([]Section{s}).Rows, 1)
}

func TestCompareIgnoresUnpairedFigures(t *testing.T) {
	older := []Section{{Title: "A", Figures: []Figure{figure("x", 10, "ms"), figure("zero", 0, "")}}}
	newer := []Section{
		{Title: "A", Figures: []Figure{figure("x", 12, "ms"), figure("zero", 1, ""), figure("y", 1, "")}},
		{Title: "B", Figures: []Figure{figure("x", 12, "ms")}},
	}
	pairs := Compare(older, newer)
	require.Len(t, pairs, 2)
	percent, known := pairs[0].Change()
	require.True(t, known)
	require.InDelta(t, 20, percent, 1e-9)
	_, known = pairs[1].Change()
	require.False(t, known)
}

func TestRewriteKeepsTheRestOfThePage(t *testing.T) {
	page := "intro\n" + beginMarker + "\nold\n" + endMarker + "\nend\n"
	sections := []Section{{Title: "A", Figures: []Figure{figure("x", 1, "ms")}}}
	once, err := ReplaceTables(page, sections)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(once, "intro\n"+beginMarker))
	require.True(t, strings.HasSuffix(once, endMarker+"\nend\n"))
	require.NotContains(t, once, "old")
	twice, err := ReplaceTables(once, sections)
	require.NoError(t, err)
	require.Equal(t, once, twice)
	_, err = ReplaceTables("no marks", sections)
	require.ErrorContains(t, err, beginMarker)
	_, err = ReplaceTables(beginMarker, sections)
	require.ErrorContains(t, err, endMarker)
}
