package uplink

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestDetector runs the scripts in testdata. Each line is an instant and an input: failed
// TARGET, progress, silent TARGETS, verify, next, or round TARGETS REACHED REFUSED.
func TestDetector(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		d := New(DefaultLimits())
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(data.Input, "\n") {
				f := strings.Fields(line)
				now := sardine.Millis(number(t, f[0]))
				fmt.Fprintf(&out, "%d %s", now, f[1])
				switch f[1] {
				case "failed":
					d.Failed(now, f[2])
				case "progress":
					d.Progressed(now)
				case "silent":
					d.Silent(now, number(t, f[2]))
				case "verify":
					d.Verify(now)
				case "next":
					fmt.Fprintf(&out, " %t", d.Next(now))
				case "round":
					change := d.Ended(now, Round{Targets: number(t, f[2]), Reached: number(t, f[3]), Refused: number(t, f[4])})
					fmt.Fprintf(&out, " %s", [...]string{"no change", "cleared", "lost", "reconnected"}[change])
				default:
					t.Fatalf("unknown input %s", f[1])
				}
				fmt.Fprintf(&out, ": %s", d.State())
				if d.Since() > 0 {
					fmt.Fprintf(&out, " since %d", d.Since())
				}
				out.WriteString("\n")
			}
			return out.String()
		})
	})
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}
