package tomlr

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

const maxName = 200 // bytes

// Table is one table of a document. Its methods mark the keys that they read as
// known. For an invalid value they report a problem and return the fallback.
type Table struct {
	document *Document
	path     string
	content  map[string]any
	present  bool
}

// Present reports whether the document holds the table.
func (t *Table) Present() bool {
	return t.present
}

// Path returns the table's dotted path, empty for the root.
func (t *Table) Path() string {
	return t.path
}

// Has reports whether the table holds the key.
func (t *Table) Has(key string) bool {
	_, present := t.content[key]
	return present
}

// ReportProblem reports a problem with the value of key.
func (t *Table) ReportProblem(key, expected string) {
	value, present := t.get(key)
	t.document.addProblem(join(t.path, key), describe(value, present), expected)
}

// Text returns any string, or fallback if the key is absent.
func (t *Table) Text(key, fallback string) string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	text, valid := value.(string)
	if !valid {
		t.ReportProblem(key, "a string")
		return fallback
	}
	return text
}

// Name returns a string without spaces and control characters. The key is
// required.
func (t *Table) Name(key string) string {
	text, valid := t.content[key].(string)
	if !valid || !validName(text) {
		t.ReportProblem(key, "a name of 1 to 200 bytes without spaces")
		return ""
	}
	return t.Text(key, "")
}

// Names returns an array of names, nil if the key is absent.
func (t *Table) Names(key string) []string {
	value, present := t.get(key)
	if !present {
		return nil
	}
	elements, valid := value.([]any)
	if !valid {
		t.ReportProblem(key, "an array of names")
		return nil
	}
	var names []string
	for i, element := range elements {
		name, valid := element.(string)
		if !valid || !validName(name) {
			t.document.addProblem(fmt.Sprintf("%s[%d]", join(t.path, key), i), describe(element, true), "a name of 1 to 200 bytes without spaces")
			continue
		}
		names = append(names, name)
	}
	return names
}

// Choice returns one of the allowed strings, or fallback if the key is absent.
func (t *Table) Choice(key, fallback string, allowed ...string) string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	text, valid := value.(string)
	if !valid || !slices.Contains(allowed, text) {
		t.ReportProblem(key, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// Address returns host:port with an IP address, or an empty string if the key is
// absent and not required. Port 0 is valid only if listening is set.
func (t *Table) Address(key string, required, listening bool) string {
	value, present := t.get(key)
	if !present && !required {
		return ""
	}
	text, _ := value.(string)
	if !validAddress(text, listening) {
		t.ReportProblem(key, "an IP number and a port, such as 10.0.0.7:8080")
		return ""
	}
	return text
}

// Int returns a whole number from low to high, or fallback if the key is absent.
func (t *Table) Int(key string, fallback, low, high int64) int64 {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	n, valid := value.(int64)
	if !valid || n < low || n > high {
		t.ReportProblem(key, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Bool returns a boolean, or fallback if the key is absent.
func (t *Table) Bool(key string, fallback bool) bool {
	v, ok := t.get(key)
	if !ok {
		return fallback
	}
	b, ok := v.(bool)
	if !ok {
		t.ReportProblem(key, "true or false")
		return fallback
	}
	return b
}

// Float returns a number from low to high, or fallback if the key is absent.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	f, valid := value.(float64)
	if n, whole := value.(int64); whole {
		f, valid = float64(n), true
	}
	if !valid || math.IsNaN(f) || f < low || f > high {
		t.ReportProblem(key, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return f
}

// Table returns a table in this one, an empty one if the key is absent.
func (t *Table) Table(key string) *Table {
	value, present := t.get(key)
	child := &Table{document: t.document, path: join(t.path, key)}
	if !present {
		return child
	}
	content, valid := value.(map[string]any)
	if !valid {
		t.ReportProblem(key, "a table")
		return child
	}
	child.content, child.present = content, true
	return child
}

// Tables returns the tables of an array, nil if the key is absent.
func (t *Table) Tables(key string) []*Table {
	value, present := t.get(key)
	if !present {
		return nil
	}
	elements, valid := value.([]any)
	if !valid {
		t.ReportProblem(key, "an array of tables")
		return nil
	}
	var tables []*Table
	for i, element := range elements {
		path := fmt.Sprintf("%s[%d]", join(t.path, key), i)
		content, valid := element.(map[string]any)
		if !valid {
			t.document.addProblem(path, describe(element, true), "a table")
			continue
		}
		tables = append(tables, &Table{document: t.document, path: path, content: content, present: true})
	}
	return tables
}

// Keys returns the table's keys, sorted. It is for tables whose keys are not
// fixed. It does not mark them as known.
func (t *Table) Keys() []string {
	var keys []string
	for key := range t.content {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (t *Table) get(key string) (any, bool) {
	t.document.read[join(t.path, key)] = true
	value, present := t.content[key]
	return value, present
}

func describe(value any, present bool) string {
	if !present {
		return "nothing"
	}
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return fmt.Sprint(v)
	}
}

func validName(text string) bool {
	isInvalid := func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }
	return text != "" && len(text) <= maxName && !strings.ContainsFunc(text, isInvalid)
}

func validAddress(text string, listening bool) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && (n > 0 || listening)
}
