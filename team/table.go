package team

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// reader collects the problems that are found while a tree is decoded.
type reader struct {
	tree     tree
	problems Problems
}

func (r *reader) addProblem(p Path, found, expected string) {
	at := r.tree.at(p.keys)
	r.problems = append(r.problems, Problem{Line: at.line, Column: at.column, Path: p.String(), Found: found, Expected: expected})
}

// table decodes the keys of one TOML table and records which keys are known, so
// that others can be reported.
type table struct {
	r      *reader
	path   Path
	values map[string]any
	known  []string
}

func (r *reader) root() *table {
	return &table{r: r, path: r.tree.root, values: r.tree.values}
}

// get returns a key's value and marks the key as known.
func (t *table) get(key string) (any, bool) {
	t.known = append(t.known, key)
	v, ok := t.values[key]
	return v, ok
}

func (t *table) reportProblem(key, found, expected string) {
	t.r.addProblem(t.path.Child(key), found, expected)
}

// reportUnknown reports the keys that were not read.
func (t *table) reportUnknown() {
	for _, key := range sortedKeys(t.values) {
		if !slices.Contains(t.known, key) {
			t.reportProblem(key, "an unknown key", "one of "+strings.Join(t.known, ", "))
		}
	}
}

// table returns the table of a key, an empty one if the key is absent.
func (t *table) table(key string) *table {
	child := &table{r: t.r, path: t.path.Child(key)}
	v, ok := t.get(key)
	if !ok {
		return child
	}
	values, isTable := v.(map[string]any)
	if !isTable {
		t.reportProblem(key, describe(v), "a table")
	}
	child.values = values
	return child
}

// each calls read for every table in t, in the order of their names.
func (t *table) each(read func(name string, child *table)) {
	for _, name := range sortedKeys(t.values) {
		if !isName(name) {
			t.reportProblem(name, fmt.Sprintf("the name %q", name), nameRule)
		}
		child := t.table(name)
		if child.values != nil {
			read(name, child)
		}
	}
}

// text returns a key's string.
func (t *table) text(key string, required bool) string {
	v, ok := t.get(key)
	if !ok {
		t.missing(key, required, "a text")
		return ""
	}
	s, isText := v.(string)
	if !isText || (required && s == "") {
		t.reportProblem(key, describe(v), "a text that is not empty, in quotes")
	}
	return s
}

func (t *table) missing(key string, required bool, expected string) {
	if required {
		t.reportProblem(key, "no such key", fmt.Sprintf("%s, add %s = ...", expected, key))
	}
}

// integer returns a key's whole number from low to high, or fallback.
func (t *table) integer(key string, required bool, low, high, fallback int) int {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := t.get(key)
	if !ok {
		t.missing(key, required, expected)
		return fallback
	}
	n, isInteger := v.(int64)
	if !isInteger || n < int64(low) || n > int64(high) {
		t.reportProblem(key, describe(v), expected)
		return fallback
	}
	return int(n)
}

// number returns a key's finite number of at least 0, above 0 if positive is
// set, or fallback.
func (t *table) number(key string, positive bool, fallback float64) float64 {
	v, ok := t.get(key)
	if !ok {
		return fallback
	}
	expected := "a number of 0 or more"
	if positive {
		expected = "a number above 0"
	}
	n, isNumber := asNumber(v)
	if !isNumber || n < 0 || (positive && n == 0) || n > maxNumber {
		t.reportProblem(key, describe(v), expected)
		return fallback
	}
	return n
}

// maxNumber bounds rates and weights, so that sums of them stay precise enough.
const maxNumber = 1e12

func asNumber(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	default:
		return 0, false
	}
}

// texts returns a key's list of strings, without duplicates, and whether the
// key is set.
func (t *table) texts(key string) ([]string, bool) {
	v, ok := t.get(key)
	if !ok {
		return nil, false
	}
	items, isList := v.([]any)
	if !isList {
		t.reportProblem(key, describe(v), "a list of texts")
		return nil, true
	}
	all := make([]string, 0, len(items))
	for _, item := range items {
		s, isText := item.(string)
		switch {
		case !isText:
			t.reportProblem(key, describe(item), "only texts in the list")
		case slices.Contains(all, s):
			t.reportProblem(key, fmt.Sprintf("%q twice", s), "each entry once, remove one")
		default:
			all = append(all, s)
		}
	}
	return all, true
}

func describe(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("the text %q", v)
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return fmt.Sprint(v)
	}
}

func sortedKeys(values map[string]any) []string {
	return slices.Sorted(maps.Keys(values))
}
