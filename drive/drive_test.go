package drive

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// recorder is an actor that sends a message to all nodes every 50 ms and records its
// calls.
type recorder struct {
	driver *Driver[int]
	id     sardine.NodeID
	next   sardine.Millis
	trace  *[]string
}

func (e *recorder) record(now sardine.Millis, what string) {
	*e.trace = append(*e.trace, fmt.Sprint(e.driver.Now(), " ", now, " ", e.id, " ", what))
}

func (e *recorder) Start(now sardine.Millis) { e.next = now + 50; e.record(now, "start") }
func (e *recorder) Wake() sardine.Millis     { return e.next }
func (e *recorder) Crash()                   { e.record(0, "crash") }

func (e *recorder) Tick(now sardine.Millis) {
	e.next = now + 50
	for _, to := range []sardine.NodeID{"a", "b", "c"} {
		e.driver.Send(e.id, to, 1)
	}
	e.driver.After(e.id, 20, func(now sardine.Millis) { e.record(now, "work") })
}

func (e *recorder) Receive(now sardine.Millis, from sardine.NodeID, m int) {
	e.record(now, fmt.Sprint(from, m))
}

func runTrace(seed uint64) []string {
	var trace []string
	d := New[int](seed, AllFaults())
	for _, id := range []sardine.NodeID{"a", "b", "c"} {
		d.Add(id, &recorder{driver: d, id: id, trace: &trace})
	}
	d.Run(3000)
	return trace
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	require.Equal(t, runTrace(4), runTrace(4))
	require.NotEqual(t, runTrace(4), runTrace(5))
}

func TestCutLosesOneDirection(t *testing.T) {
	var trace []string
	d := New[int](1, Faults{MaxDelay: 5})
	for _, id := range []sardine.NodeID{"a", "b", "c"} {
		d.Add(id, &recorder{driver: d, id: id, trace: &trace})
	}
	d.Cut("a", "b", 1000)
	for d.Now() < 900 {
		d.Step()
	}
	seen := fmt.Sprint(trace)
	require.NotContains(t, seen, "b a1")
	require.Contains(t, seen, "a b1")
}
