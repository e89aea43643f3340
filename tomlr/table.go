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

// Table is one table of a document. Its methods note each key they are asked
// for, report a wrong value and return the fallback then.
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

// Refuse reports a problem with the value of key.
func (t *Table) Refuse(key, expected string) {
	value, present := t.get(key)
	t.document.refuse(join(t.path, key), describe(value, present), expected)
}

// Text returns a string of any content, or fallback without the key.
func (t *Table) Text(key, fallback string) string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	text, right := value.(string)
	if !right {
		t.Refuse(key, "a string")
		return fallback
	}
	return text
}

// Name returns a string without spaces and control characters; the key must be
// there.
func (t *Table) Name(key string) string {
	text, right := t.content[key].(string)
	if !right || !validName(text) {
		t.Refuse(key, "a name of 1 to 200 bytes without spaces")
		return ""
	}
	return t.Text(key, "")
}

// Names returns an array of names, empty without the key.
func (t *Table) Names(key string) []string {
	value, present := t.get(key)
	if !present {
		return nil
	}
	elements, right := value.([]any)
	if !right {
		t.Refuse(key, "an array of names")
		return nil
	}
	var names []string
	for i, element := range elements {
		name, right := element.(string)
		if !right || !validName(name) {
			t.document.refuse(fmt.Sprintf("%s[%d]", join(t.path, key), i), describe(element, true), "a name of 1 to 200 bytes without spaces")
			continue
		}
		names = append(names, name)
	}
	return names
}

// Choice returns one of the allowed strings, or fallback without the key.
func (t *Table) Choice(key, fallback string, allowed ...string) string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	text, right := value.(string)
	if !right || !slices.Contains(allowed, text) {
		t.Refuse(key, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// Address returns host:port with an IP number, or an empty text without the key
// unless it is required. Port 0 is taken only where listening.
func (t *Table) Address(key string, required, listening bool) string {
	value, present := t.get(key)
	if !present && !required {
		return ""
	}
	text, _ := value.(string)
	if !validAddress(text, listening) {
		t.Refuse(key, "an IP number and a port, such as 10.0.0.7:8080")
		return ""
	}
	return text
}

// Int returns a whole number from low to high, or fallback without the key.
func (t *Table) Int(key string, fallback, low, high int64) int64 {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	n, right := value.(int64)
	if !right || n < low || n > high {
		t.Refuse(key, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Bool returns true or false, or the fallback without the key.
func (t *Table) Bool(key string, fallback bool) bool {
	v, ok := t.get(key)
	if !ok {
		return fallback
	}
	b, ok := v.(bool)
	if !ok {
		t.Refuse(key, "true or false")
		return fallback
	}
	return b
}

// Float returns a number from low to high, or fallback without the key.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	f, right := value.(float64)
	if n, whole := value.(int64); whole {
		f, right = float64(n), true
	}
	if !right || math.IsNaN(f) || f < low || f > high {
		t.Refuse(key, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return f
}

// Table returns a table below this one, an empty one without the key.
func (t *Table) Table(key string) *Table {
	value, present := t.get(key)
	sub := &Table{document: t.document, path: join(t.path, key)}
	if !present {
		return sub
	}
	content, right := value.(map[string]any)
	if !right {
		t.Refuse(key, "a table")
		return sub
	}
	sub.content, sub.present = content, true
	return sub
}

// Tables returns the tables of an array, none without the key.
func (t *Table) Tables(key string) []*Table {
	value, present := t.get(key)
	if !present {
		return nil
	}
	elements, right := value.([]any)
	if !right {
		t.Refuse(key, "an array of tables")
		return nil
	}
	var tables []*Table
	for i, element := range elements {
		path := fmt.Sprintf("%s[%d]", join(t.path, key), i)
		content, right := element.(map[string]any)
		if !right {
			t.document.refuse(path, describe(element, true), "a table")
			continue
		}
		tables = append(tables, &Table{document: t.document, path: path, content: content, present: true})
	}
	return tables
}

// Keys returns the table's keys, sorted, for tables whose keys are names.
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
	bad := func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }
	return text != "" && len(text) <= maxName && !strings.ContainsFunc(text, bad)
}

func validAddress(text string, listening bool) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && (n > 0 || listening)
}
