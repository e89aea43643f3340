package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestBudgetSlotCarriesSpentRetries guards against an incarnation that spends the retries
// that its predecessor has already spent. Each line of a script is a command; the
// output is the node's budget slot and the number of slots, which must be the same
// after a snapshot.
func TestBudgetSlotCarriesSpentRetries(t *testing.T) {
	datadriven.Walk(t, "testdata/seats", func(t *testing.T, file string) {
		m, index := NewMachine(), uint64(0)
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				index++
				node := applySlotCommand(t, m, index, line)
				slot, _ := m.BudgetSlot(node)
				fmt.Fprintf(&out, "%s: %s, vacant %t, spent %v, %d seats\n", strings.TrimSpace(line), slot.Origin, slot.Vacant, slot.Spent, m.BudgetSlotCount())
			}
			b, err := m.Snapshot()
			require.NoError(t, err)
			restored, err := RestoreMachine(b)
			require.NoError(t, err)
			require.Equal(t, m.slots.sorted(), restored.slots.sorted())
			return out.String()
		})
	})
}

// applySlotCommand applies a line "seconds command node incarnation spent" and returns
// the node.
func applySlotCommand(t *testing.T, m *Machine, index uint64, line string) sardine.NodeID {
	var at WallTime
	var verb, node string
	var i, spent int
	n, _ := fmt.Sscan(line, &at, &verb, &node, &i, &spent)
	require.GreaterOrEqual(t, n, 2, line)
	at *= WallTime(sardine.Second)
	id, incarnation := sardine.NodeID(node), sardine.Incarnation(i)
	switch verb {
	case "join":
		m.Apply(index, at, JoinEntry{Node: id, Incarnation: incarnation, Address: "at " + node})
	case "move":
		m.Apply(index, at, JoinEntry{Node: id, Incarnation: incarnation, Address: "elsewhere"})
	case "leave":
		m.Apply(index, at, LeaveEntry{Node: id, Incarnation: incarnation, Spent: SpentRetries{Known: true, Services: []ServiceRetries{{Service: "s", Spent: []uint32{uint32(spent)}}}}})
	case "forget":
		m.Apply(index, at, LeaveEntry{Node: id, Incarnation: incarnation})
	case "open":
		m.Apply(index, at, OpenTraffic{})
	default:
		t.Fatalf("unknown command in %q", line)
	}
	return id
}
