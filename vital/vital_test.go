package vital

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// service is the deployment of all targets in scripts.
const service = sardine.ServiceName("s")

// TestTracker runs the scripts in testdata. begin, progress, suspend, resume, end and
// unreachable act on requests by name, pass sets the engines' longest iteration time, stream FLIGHT
// PAUSE COUNT records events with a pause before each, look prints the stalled
// targets and the suspects, signs prints the observations, silent MS prints the number of silent
// targets, forgive ends all suspicions, and learning on or off sets whether silences change the limits.
func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tracker := New(DefaultLimits())
		flights := map[string]*TrackedRequest{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at int
			d.ScanArgs(t, "at", &at)
			now := sardine.Millis(at)
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				switch f[0] {
				case "pass":
					tracker.SilenceLimits(service).SetIterationTime(sardine.Millis(number(t, f[1])))
				case "stream":
					for range number(t, f[3]) {
						now += sardine.Millis(number(t, f[2]))
						tracker.Progress(now, flights[f[1]], true)
					}
				case "begin":
					flights[f[1]] = tracker.Begin(now, refOf(f[2]), service)
				case "progress":
					tracker.Progress(now, flights[f[1]], len(f) > 2)
				case "suspend":
					tracker.Suspend(flights[f[1]])
				case "resume":
					tracker.Resume(now, flights[f[1]])
				case "end":
					tracker.End(flights[f[1]])
				case "unreachable":
					tracker.Unreachable(now, refOf(f[1]))
				case "silent":
					fmt.Fprintf(&out, "%d silent\n", tracker.Silent(now, sardine.Millis(number(t, f[1]))))
				case "learning":
					tracker.SetLearning(f[1] == "on")
				case "forgive":
					tracker.Forgive(now)
				case "look":
					fmt.Fprintf(&out, "stalled %v, suspects %v\n", tracker.Stalled(now), tracker.Suspects(now))
				case "signs":
					for _, s := range tracker.Observations(now) {
						fmt.Fprintf(&out, "%s: %d flights, alive %d, stalled %v\n", s.Ref, s.InFlight, s.ProgressAge, s.Stalled)
					}
				}
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

// refOf returns the target with a name: a plain target if it starts with "vm",
// otherwise a group.
func refOf(name string) route.Ref {
	if strings.HasPrefix(name, "vm") {
		return route.Ref{VM: sardine.VMID(name), Incarnation: 1}
	}
	return route.Ref{Group: sardine.GroupID(name), Epoch: 1}
}
