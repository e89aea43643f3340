package loss

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Sizes of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 320
	plotMargin = 40
	legendRow  = 16
)

// plotColours are the colours of the causes, the most frequent cause first. They
// repeat after the last one.
var plotColours = []string{"#c0392b", "#e67e22", "#f1c40f", "#27ae60", "#2980b9", "#8e44ad", "#7f8c8d", "#2c3e50"}

// Plot writes the losses as an SVG image: one stacked bar for each second that has
// any, divided by cause.
func (r *Report) Plot(to io.Writer) error {
	seconds := r.BySecond()
	causes := r.Causes()
	highest := 1
	for _, s := range seconds {
		highest = max(highest, s.Total())
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight+legendRow*(len(causes)+1))
	fmt.Fprintf(&b, `<text x="%d" y="14">lost requests in each second, %d at most</text>`+"\n", plotMargin, highest)
	width := float64(plotWidth-2*plotMargin) / float64(max(len(seconds), 1))
	scale := float64(plotHeight-2*plotMargin) / float64(highest)
	for i, s := range seconds {
		x := float64(plotMargin) + float64(i)*width
		y := float64(plotHeight - plotMargin)
		for c, cause := range causes {
			height := float64(s.Of(cause)) * scale
			y -= height
			fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n", x, y, width*0.9, height, colour(c))
		}
		fmt.Fprintf(&b, `<text x="%.1f" y="%d">%s</text>`+"\n", x, plotHeight-plotMargin+legendRow, html.EscapeString(s.Name()))
	}
	for c, cause := range causes {
		y := plotHeight + legendRow*c
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
			plotMargin, y, colour(c), plotMargin+legendRow, y+10, html.EscapeString(string(cause)))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(to, b.String())
	return err
}

func colour(i int) string {
	return plotColours[i%len(plotColours)]
}
