package spend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestWindows prints each service's window with most repeats.
func TestWindows(t *testing.T) {
	datadriven.RunTest(t, "testdata/windows", func(t *testing.T, d *datadriven.TestData) string {
		r := NewReader()
		require.NoError(t, r.Read(strings.NewReader(d.Input)))
		var out strings.Builder
		for _, w := range NewReport(r, 10*sardine.Second).Services() {
			fmt.Fprintf(&out, "%s: %d repeats for %d requests on %d nodes until %d, %d denied\n",
				w.Service(), w.Retries(), w.Requests(), w.Nodes(), w.End()%(100*sardine.Second), w.Denied())
		}
		fmt.Fprintf(&out, "%d lines, %d unread\n", r.Lines(), r.Unparsed())
		return out.String()
	})
}
