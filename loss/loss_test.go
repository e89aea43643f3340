package loss

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestCauses prints the cause of each log line.
func TestCauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/causes", func(t *testing.T, d *datadriven.TestData) string {
		r := NewReader()
		require.NoError(t, r.Read(strings.NewReader(d.Input)))
		var out strings.Builder
		for _, record := range r.Records() {
			fmt.Fprintln(&out, record.Cause())
		}
		fmt.Fprintf(&out, "%d lines, %d unread\n", r.Lines(), r.Unparsed())
		return out.String()
	})
}

// TestPlotHasABarForEachCauseOfASecond counts the parts of the bars.
func TestPlotHasABarForEachCauseOfASecond(t *testing.T) {
	r := NewReader()
	require.NoError(t, r.Read(strings.NewReader(`{"time":"2026-12-04T10:00:00Z","msg":"request_refused","event":500,"error":{"code":300}}
{"time":"2026-12-04T10:00:05Z","msg":"request_refused","event":500,"error":{"code":201}}`)))
	var out strings.Builder
	require.NoError(t, NewReport(r.Records()).Plot(&out))
	require.Contains(t, out.String(), string(RefusedFull))
	require.Contains(t, out.String(), string(RefusedNoGroup))
	require.Equal(t, 2*2+2, strings.Count(out.String(), "<rect"), "two seconds with two causes, and the legend")
}

// TestSizes prints what became of each part of a route's requests.
func TestSizes(t *testing.T) {
	datadriven.RunTest(t, "testdata/sizes", func(t *testing.T, d *datadriven.TestData) string {
		r := NewReader()
		require.NoError(t, r.Read(strings.NewReader(d.Input)))
		var out strings.Builder
		for _, p := range BySize(r.Records(), r.Served()) {
			fmt.Fprintf(&out, "%s %s: asked %.0f, in time %.0f, late %.0f, refused %.0f, served %.2f\n",
				p.Route(), p.Name(), p.Requests(), p.InTime(), p.Late(), p.Refused(), p.Served())
		}
		return out.String()
	})
}
