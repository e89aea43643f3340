package drive

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// echo sends a number on and records what happens.
type echo struct {
	driver *Driver[int]
	id     sardine.NodeID
	next   sardine.Millis
	trace  *[]string
}

func (e *echo) note(now sardine.Millis, what string) {
	*e.trace = append(*e.trace, fmt.Sprint(e.driver.Now(), " ", now, " ", e.id, " ", what))
}

func (e *echo) Start(now sardine.Millis) { e.next = now + 50; e.note(now, "start") }
func (e *echo) Wake() sardine.Millis     { return e.next }
func (e *echo) Crash()                   { e.note(0, "crash") }

func (e *echo) Tick(now sardine.Millis) {
	e.next = now + 50
	for _, to := range []sardine.NodeID{"a", "b", "c"} {
		e.driver.Send(e.id, to, 1)
	}
	e.driver.After(e.id, 20, func(now sardine.Millis) { e.note(now, "work") })
}

func (e *echo) Receive(now sardine.Millis, from sardine.NodeID, m int) {
	e.note(now, fmt.Sprint(from, m))
}

func run(seed uint64) []string {
	var trace []string
	d := New[int](seed, AllFaults())
	for _, id := range []sardine.NodeID{"a", "b", "c"} {
		d.Add(id, &echo{driver: d, id: id, trace: &trace})
	}
	d.Run(3000)
	return trace
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	require.Equal(t, run(4), run(4))
	require.NotEqual(t, run(4), run(5))
}

func TestCutLosesOneDirection(t *testing.T) {
	var trace []string
	d := New[int](1, Faults{Delay: 5})
	for _, id := range []sardine.NodeID{"a", "b", "c"} {
		d.Add(id, &echo{driver: d, id: id, trace: &trace})
	}
	d.Cut("a", "b", 1000)
	for d.Now() < 900 {
		d.Step()
	}
	seen := fmt.Sprint(trace)
	require.NotContains(t, seen, "b a1")
	require.Contains(t, seen, "a b1")
}
