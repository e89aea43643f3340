package report

import "strconv"

// Section is what a page shows of one result.
type Section struct {
	Title   string
	Origin  Origin
	Figures []Figure
	Tables  []Table
	Plots   []Plot
}

// Side tells on which side of its bound a figure has to be.
type Side int

// The sides of a bound.
const (
	Unbound Side = iota
	AtMost
	AtLeast
)

// Figure is one number of a result with its bound, if it has one.
type Figure struct {
	Name  string // unique in its section's title
	Value float64
	Unit  string
	Side  Side
	Bound float64
}

// Met tells whether the figure is on the right side of its bound; a figure
// without a bound always is.
func (f Figure) Met() bool {
	switch f.Side {
	case AtMost:
		return f.Value <= f.Bound
	case AtLeast:
		return f.Value >= f.Bound
	default:
		return true
	}
}

// BoundText returns the bound as a page shows it, empty without one.
func (f Figure) BoundText() string {
	switch f.Side {
	case AtMost:
		return "at most " + number(f.Bound)
	case AtLeast:
		return "at least " + number(f.Bound)
	default:
		return ""
	}
}

// Verdict returns "met", "missed" or, without a bound, an empty text.
func (f Figure) Verdict() string {
	if f.Side == Unbound {
		return ""
	}
	if f.Met() {
		return "met"
	}
	return "missed"
}

func figure(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit}
}

func atMost(name string, value float64, unit string, bound float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Side: AtMost, Bound: bound}
}

func atLeast(name string, value float64, unit string, bound float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Side: AtLeast, Bound: bound}
}

// Table is a table of texts.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// add appends a row of texts and numbers.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.Rows = append(t.Rows, row)
}

func cell(c any) string {
	switch v := c.(type) {
	case string:
		return v
	case float64:
		return number(v)
	case int:
		return strconv.Itoa(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case uint64:
		return strconv.FormatUint(v, 10)
	case bool:
		return strconv.FormatBool(v)
	default:
		return "?"
	}
}

// number writes a value with four significant digits, large ones whole.
func number(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
