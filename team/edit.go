package team

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sardineswitch.dev/sardine/codes"
)

// leafKey is the key under which a single value is decoded or encoded, since
// TOML has no documents that consist of a value alone.
const leafKey = "value"

// Get returns the content of the document at a path: the document itself at its
// root, TOML for a table, one TOML value for a leaf. Its error is
// codes.UnknownPath if the path is not set.
func Get(document, path string) (string, error) {
	p, t, err := parseDocument(document, path)
	if err != nil {
		return "", err
	}
	if p.IsRoot() {
		return document, nil
	}
	v, ok := lookup(t.values, p.keys)
	if !ok {
		return "", codes.New(codes.UnknownPath, "%s is not set", p)
	}
	return render(v)
}

// Merge returns the document with a fragment merged in at a path. A fragment of
// TOML keys replaces the keys that it contains, table by table, and keeps the
// others; at a leaf the fragment is the new value. Comments in the document
// are lost. The result is not checked; see Parse.
func Merge(document, path, fragment string) (string, error) {
	return edit(document, path, fragment, mergeValue)
}

// Replace returns the document with everything at a path replaced by the
// fragment. At the root the fragment becomes the document, comments included.
func Replace(document, path, fragment string) (string, error) {
	p, err := ParsePath(path)
	if err != nil {
		return "", err
	}
	if p.IsRoot() {
		_, err := parseTree(p, fragment)
		return fragment, err
	}
	return edit(document, path, fragment, func(_, value any) any { return value })
}

// Delete returns the document without the key or table at a path. Its error is
// codes.UnknownPath if the path is not set.
func Delete(document, path string) (string, error) {
	p, t, err := parseDocument(document, path)
	if err != nil {
		return "", err
	}
	if p.IsRoot() {
		return "", nil
	}
	last := len(p.keys) - 1
	parent, ok := lookup(t.values, p.keys[:last])
	values, isTable := parent.(map[string]any)
	if _, set := values[p.keys[last]]; !ok || !isTable || !set {
		return "", codes.New(codes.UnknownPath, "%s is not set", p)
	}
	delete(values, p.keys[last])
	return encode(t.values)
}

func edit(document, path, fragment string, combine func(old, value any) any) (string, error) {
	p, t, err := parseDocument(document, path)
	if err != nil {
		return "", err
	}
	value, err := parseFragment(p, fragment)
	if err != nil {
		return "", err
	}
	if p.IsRoot() {
		merged, _ := combine(t.values, value).(map[string]any)
		return encode(merged)
	}
	parent, err := makeTables(p, t.values)
	if err != nil {
		return "", err
	}
	last := p.keys[len(p.keys)-1]
	parent[last] = combine(parent[last], value)
	return encode(t.values)
}

func parseDocument(document, path string) (Path, tree, error) {
	p, err := ParsePath(path)
	if err != nil {
		return p, tree{}, err
	}
	t, err := parseTree(Path{team: p.team}, document)
	return p, t, err
}

// parseFragment parses a fragment of TOML keys or, below the root, a bare value.
func parseFragment(p Path, fragment string) (any, error) {
	t, err := parseTree(p, fragment)
	if err == nil {
		return t.values, nil
	}
	var leaf map[string]any
	bare := leafKey + " = " + strings.TrimSpace(fragment) + "\n"
	if p.IsRoot() || toml.Unmarshal([]byte(bare), &leaf) != nil || len(leaf) != 1 {
		return nil, err
	}
	return leaf[leafKey], nil
}

func makeTables(p Path, values map[string]any) (map[string]any, error) {
	for i, key := range p.keys[:len(p.keys)-1] {
		if _, set := values[key]; !set {
			values[key] = make(map[string]any)
		}
		next, isTable := values[key].(map[string]any)
		if !isTable {
			return nil, codes.New(codes.UnknownPath, "%s is a value and has no keys", Path{team: p.team, keys: p.keys[:i+1]})
		}
		values = next
	}
	return values, nil
}

func mergeValue(old, value any) any {
	into, wasTable := old.(map[string]any)
	from, isTable := value.(map[string]any)
	if !wasTable || !isTable {
		return value
	}
	for key, v := range from {
		into[key] = mergeValue(into[key], v)
	}
	return into
}

func lookup(values map[string]any, keys []string) (any, bool) {
	var v any = values
	for _, key := range keys {
		t, isTable := v.(map[string]any)
		if !isTable {
			return nil, false
		}
		next, ok := t[key]
		if !ok {
			return nil, false
		}
		v = next
	}
	return v, true
}

func render(v any) (string, error) {
	if t, isTable := v.(map[string]any); isTable {
		return encode(t)
	}
	text, err := encode(map[string]any{leafKey: v})
	return strings.TrimPrefix(text, leafKey+" = "), err
}

func encode(values map[string]any) (string, error) {
	b, err := toml.Marshal(values)
	return string(b), codes.Wrap(codes.Internal, err, "encode the document")
}

// Difference is one leaf that differs between two documents.
type Difference struct {
	Path string
	Old  string // TOML value, empty if the leaf was added
	New  string // TOML value, empty if the leaf was removed
}

// String returns the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s = %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s = %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s = %s (was %s)", d.Path, d.New, d.Old)
	}
}

// Diff returns the leaves that differ between two documents of the team that
// path belongs to, sorted by path.
func Diff(path, a, b string) ([]Difference, error) {
	p, before, err := parseDocument(a, path)
	if err != nil {
		return nil, err
	}
	_, after, err := parseDocument(b, path)
	if err != nil {
		return nil, err
	}
	return diffTables(Path{team: p.team}, before.values, after.values), nil
}

func diffTables(p Path, a, b map[string]any) []Difference {
	both := make(map[string]any, len(a)+len(b))
	for key := range a {
		both[key] = nil
	}
	for key := range b {
		both[key] = nil
	}
	var all []Difference
	for _, key := range sortedKeys(both) {
		all = append(all, diffValues(p.Child(key), a[key], b[key])...)
	}
	return all
}

func diffValues(p Path, a, b any) []Difference {
	if reflect.DeepEqual(a, b) {
		return nil
	}
	tableA, isA := a.(map[string]any)
	tableB, isB := b.(map[string]any)
	if (isA || a == nil) && (isB || b == nil) && (isA || isB) {
		return diffTables(p, tableA, tableB)
	}
	return []Difference{{Path: p.String(), Old: leafText(a), New: leafText(b)}}
}

func leafText(v any) string {
	if v == nil {
		return ""
	}
	text, err := render(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return strings.TrimSpace(text)
}
