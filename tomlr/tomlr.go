// Package tomlr reads TOML documents strictly and reports all problems at once,
// each with its line, column, path, what was found and what was expected.
package tomlr

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sardineswitch.dev/sardine/codes"
)

// Position is a position in a document. Lines and columns start at 1. The zero
// value stands for the document as a whole.
type Position struct {
	Line   int
	Column int
}

// Problem is one error in a document.
type Problem struct {
	position Position
	path     string
	found    string
	expected string
}

// Position returns the position of the problem.
func (p Problem) Position() Position {
	return p.position
}

// Path returns the dotted path of the key, such as controls[0].address.
func (p Problem) Path() string {
	return p.path
}

// Found returns a description of the value in the document, "nothing" if there
// is none.
func (p Problem) Found() string {
	return p.found
}

// Expected returns a description of the valid values.
func (p Problem) Expected() string {
	return p.expected
}

// InvalidDocument is the error for a document with problems.
type InvalidDocument struct {
	name     string
	problems []Problem
}

// Error returns one line for each problem, in the form
// "name:line:column: path: found X, expected Y".
func (i *InvalidDocument) Error() string {
	lines := make([]string, 0, len(i.problems))
	for _, p := range i.problems {
		line := fmt.Sprintf("\n  %s:%d:%d: %s: found %s, expected %s", i.name, p.position.Line, p.position.Column, p.path, p.found, p.expected)
		lines = append(lines, line)
	}
	return strings.Join(lines, "")
}

// Problems returns the problems in err, nil if err does not wrap an InvalidDocument.
func Problems(err error) []Problem {
	var invalid *InvalidDocument
	if errors.As(err, &invalid) {
		return slices.Clone(invalid.problems)
	}
	return nil
}

// Document is a parsed document. It collects problems while its tables are read.
type Document struct {
	name      string
	positions map[string]Position
	problems  []Problem
	read      map[string]bool
	root      *Table
}

// Parse parses the text of a document. Errors contain the name. A syntax error
// is reported as the only problem.
func Parse(name string, text []byte) (*Document, error) {
	d := &Document{name: name, positions: map[string]Position{}, read: map[string]bool{}}
	content := map[string]any{}
	if err := toml.Unmarshal(text, &content); err != nil {
		return nil, d.syntaxError(err)
	}
	d.locate(text)
	d.root = &Table{document: d, content: content, present: true}
	return d, nil
}

// Root returns the top table.
func (d *Document) Root() *Table {
	return d.root
}

// Err returns all problems in the order of the document, including keys that
// were not read, or nil if there are none. The error carries codes.BadSettings.
func (d *Document) Err() error {
	d.reportUnread(d.root.content, "")
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		if a.position.Line != b.position.Line {
			return a.position.Line - b.position.Line
		}
		return a.position.Column - b.position.Column
	})
	return wrap(&InvalidDocument{name: d.name, problems: d.problems})
}

func (d *Document) syntaxError(err error) error {
	p := Problem{path: "document", found: err.Error(), expected: "TOML"}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		p.position.Line, p.position.Column = decodeError.Position()
		p.found = strings.TrimPrefix(decodeError.Error(), "toml: ")
	}
	return wrap(&InvalidDocument{name: d.name, problems: []Problem{p}})
}

// addProblem records a problem, unless the path has one already: a second one
// would only repeat it in other words.
func (d *Document) addProblem(path, found, expected string) {
	if slices.ContainsFunc(d.problems, func(p Problem) bool { return p.path == path }) {
		return
	}
	d.problems = append(d.problems, Problem{position: d.position(path), path: path, found: found, expected: expected})
}

// position returns the position of a path, or of its nearest ancestor that has
// one.
func (d *Document) position(path string) Position {
	for path != "" {
		if p, known := d.positions[path]; known {
			return p
		}
		path = parent(path)
	}
	return Position{Line: 1, Column: 1}
}

func (d *Document) reportUnread(content map[string]any, prefix string) {
	for key, value := range content {
		path := join(prefix, key)
		if !d.read[path] {
			d.addProblem(path, "an unknown key", "one of "+strings.Join(d.known(prefix), ", "))
			continue
		}
		d.reportUnreadValue(value, path)
	}
}

func (d *Document) reportUnreadValue(value any, path string) {
	switch v := value.(type) {
	case map[string]any:
		d.reportUnread(v, path)
	case []any:
		for i, element := range v {
			d.reportUnreadValue(element, fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

// known returns the keys that were read in the table at prefix, sorted.
func (d *Document) known(prefix string) []string {
	var keys []string
	for path := range d.read {
		if parent(path) == prefix && !strings.HasSuffix(path, "]") {
			keys = append(keys, strings.TrimPrefix(strings.TrimPrefix(path, prefix), "."))
		}
	}
	slices.Sort(keys)
	return keys
}

func wrap(i *InvalidDocument) error {
	noun := "problems"
	if len(i.problems) == 1 {
		noun = "problem"
	}
	return codes.Wrap(codes.BadSettings, i, fmt.Sprintf("%d %s", len(i.problems), noun))
}

func join(prefix, key string) string {
	if strings.ContainsAny(key, ".[]\" ") {
		key = fmt.Sprintf("%q", key)
	}
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// parent returns the path without its last key or index.
func parent(path string) string {
	if strings.HasSuffix(path, `"`) {
		start := strings.LastIndex(path[:len(path)-1], `"`)
		return strings.TrimSuffix(path[:max(start, 0)], ".")
	}
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}
