package report

import (
	"fmt"
	"html"
	"strings"
)

// Sizes of a plot in pixels.
const (
	plotWidth  = 720
	plotLeft   = 240
	plotRight  = 90
	barHeight  = 16
	barGap     = 6
	lineHeight = 220
	margin     = 30
)

// Plot is a chart that renders as SVG.
type Plot interface {
	SVG() string
}

// Bar is one bar of a bar chart.
type Bar struct {
	Name  string
	Value float64
}

// BarChart is a chart of horizontal bars that start at zero.
type BarChart struct {
	Title string
	Unit  string
	Items []Bar
}

// SVG renders the chart.
func (b BarChart) SVG() string {
	highest := 0.0
	for _, x := range b.Items {
		highest = max(highest, x.Value)
	}
	var s strings.Builder
	height := margin + len(b.Items)*(barHeight+barGap)
	openSVG(&s, height, b.Title+", "+b.Unit)
	for i, x := range b.Items {
		y := margin + i*(barHeight+barGap)
		width := scaled(max(x.Value, 0), highest, plotWidth-plotLeft-plotRight)
		text(&s, plotLeft-6, y+barHeight-4, "end", x.Name)
		fmt.Fprintf(&s, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="#4a78a8"/>`, plotLeft, y, width, barHeight)
		text(&s, plotLeft+int(width)+6, y+barHeight-4, "start", formatNumber(x.Value))
	}
	s.WriteString("</svg>")
	return s.String()
}

// Line is a fitted straight line with the points that it was fitted to.
type Line struct {
	Name        string
	Base, Slope float64
	X, Y        []float64
}

// LineChart is a chart of fitted lines from x = 0 to the highest x of their points.
type LineChart struct {
	Title string // with the units of both axes
	Items []Line
}

var lineColours = [...]string{"#4a78a8", "#c4623a", "#4f8f4f", "#8a5aa0", "#807040"}

// SVG renders the lines and their points.
func (l LineChart) SVG() string {
	highX, highY := l.highest()
	var s strings.Builder
	openSVG(&s, margin+lineHeight+margin, l.Title)
	width, baseline := plotWidth-plotLeft-plotRight, margin+lineHeight
	x := func(v float64) float64 { return plotLeft + scaled(v, highX, width) }
	y := func(v float64) float64 { return float64(baseline) - scaled(v, highY, lineHeight) }
	fmt.Fprintf(&s, `<path d="M%d %d V%d H%d" fill="none" stroke="#888"/>`, plotLeft, margin, baseline, plotLeft+width)
	text(&s, plotLeft-6, margin+8, "end", formatNumber(highY))
	text(&s, plotLeft-6, baseline, "end", "0")
	text(&s, plotLeft+width, baseline+16, "middle", formatNumber(highX))
	for i, item := range l.Items {
		colour := lineColours[i%len(lineColours)]
		fmt.Fprintf(&s, `<path d="M%.1f %.1f L%.1f %.1f" stroke="%s"/>`,
			x(0), y(item.Base), x(highX), y(item.Base+item.Slope*highX), colour)
		for j := range item.X {
			fmt.Fprintf(&s, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`, x(item.X[j]), y(item.Y[j]), colour)
		}
		fmt.Fprintf(&s, `<rect x="4" y="%d" width="10" height="10" fill="%s"/>`, margin+i*18, colour)
		text(&s, 20, margin+i*18+10, "start", item.Name)
	}
	s.WriteString("</svg>")
	return s.String()
}

// highest returns the upper ends of both axes.
func (l LineChart) highest() (x, y float64) {
	for _, item := range l.Items {
		for i := range item.X {
			x = max(x, item.X[i])
			y = max(y, item.Y[i])
		}
	}
	for _, item := range l.Items {
		y = max(y, item.Base, item.Base+item.Slope*x)
	}
	return x, y
}

// scaled converts a value to pixels, of which the highest value takes the given
// number.
func scaled(v, highest float64, pixels int) float64 {
	if highest <= 0 {
		return 0
	}
	return v / highest * float64(pixels)
}

func openSVG(s *strings.Builder, height int, title string) {
	fmt.Fprintf(s, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, height)
	text(s, 4, 16, "start", title)
}

func text(s *strings.Builder, x, y int, anchor, content string) {
	fmt.Fprintf(s, `<text x="%d" y="%d" text-anchor="%s">%s</text>`, x, y, anchor, html.EscapeString(content))
}
