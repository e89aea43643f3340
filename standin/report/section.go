package report

import "strconv"

// Section is the part of a page that shows one result.
type Section struct {
	Title   string
	Origin  Origin
	Figures []Figure
	Tables  []Table
	Plots   []Plot
}

// Side is the side of its bound on which a figure must lie.
type Side int

// Sides of a bound.
const (
	NoBound Side = iota // the figure has no bound
	AtMost
	AtLeast
)

// Figure is one number of a result, with its bound if it has one.
type Figure struct {
	Name  string // unique within its section
	Value float64
	Unit  string
	Side  Side
	Bound float64
}

// MeetsBound reports whether the figure keeps its bound. It is true without a bound.
func (f Figure) MeetsBound() bool {
	switch f.Side {
	case AtMost:
		return f.Value <= f.Bound
	case AtLeast:
		return f.Value >= f.Bound
	default:
		return true
	}
}

// BoundText returns the bound as a page shows it, or an empty string without one.
func (f Figure) BoundText() string {
	switch f.Side {
	case AtMost:
		return "at most " + formatNumber(f.Bound)
	case AtLeast:
		return "at least " + formatNumber(f.Bound)
	default:
		return ""
	}
}

// Verdict returns "met" or "missed", or an empty string without a bound.
func (f Figure) Verdict() string {
	if f.Side == NoBound {
		return ""
	}
	if f.MeetsBound() {
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

// Table is a table of formatted cells.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// add appends a row and formats its cells.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	t.Rows = append(t.Rows, row)
}

func formatCell(c any) string {
	switch v := c.(type) {
	case string:
		return v
	case float64:
		return formatNumber(v)
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

// formatNumber formats a value with four significant digits, and one of at least
// 1000 in absolute value without decimals.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
