package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

func plainTarget(vm sardine.VMID, i sardine.Incarnation) Target {
	return Target{VM: vm, Incarnation: i, Kind: sardine.KindPlain, Address: "10.1.64.9:8000", Service: "screens"}
}

func leaves(t *testing.T, m *Machine, vm sardine.VMID) bool {
	known, listed := m.Target(vm)
	require.True(t, listed)
	return known.Leaving
}

// A worker that had left was in the routes again: a late word came after the log
// had dropped it together with its notice.
func TestLateWordDoesNotBringBackATargetThatLeft(t *testing.T) {
	for name, commands := range map[string][]Command{
		"dropped before the word came": {
			TargetUp{Target: plainTarget("vm1", 7)},
			TargetLeaving{VM: "vm1", Incarnation: 7},
			TargetDown{VM: "vm1", Incarnation: 7},
		},
		"not known when it gave notice": {
			TargetLeaving{VM: "vm1", Incarnation: 7},
		},
		"known by an earlier start only": {
			TargetUp{Target: plainTarget("vm1", 6)},
			TargetLeaving{VM: "vm1", Incarnation: 7},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			index := uint64(0)
			apply := func(c Command) Result {
				index++
				return m.Apply(index, 1000, c)
			}
			for _, c := range commands {
				apply(c)
			}
			m = restored(t, m)
			require.NoError(t, apply(TargetUp{Target: plainTarget("vm1", 7)}).Err)
			require.True(t, leaves(t, m, "vm1"), "a late word")
			require.NoError(t, apply(TargetUp{Target: plainTarget("vm1", 8)}).Err)
			require.False(t, leaves(t, m, "vm1"), "the VM has started again")
			require.True(t, codes.Is(apply(TargetUp{Target: plainTarget("vm1", 7)}).Err, codes.Superseded))
		})
	}
}

// An entry node that starts from a snapshot knows who has left.
func TestSpreadSnapshotTellsWhoHasLeft(t *testing.T) {
	m := NewMachine()
	m.Apply(1, 1000, TargetLeaving{VM: "vm1", Incarnation: 7})
	b, err := m.SpreadSnapshot()
	require.NoError(t, err)
	m, err = RestoreMachine(b)
	require.NoError(t, err)
	m.Apply(2, 1000, TargetUp{Target: plainTarget("vm1", 7)})
	require.True(t, leaves(t, m, "vm1"))
}

func TestTargetsThatLeftAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range uint64(maxLeft + 10) {
		m.Apply(i+1, 1000, TargetLeaving{VM: sardine.VMID(fmt.Sprint("vm", i)), Incarnation: 1})
	}
	require.Equal(t, maxLeft, m.left.since.len())
	require.Len(t, m.left.incarnations, maxLeft)
	m.Apply(maxLeft+20, 1000+leftRetention, OpenTraffic{})
	require.Zero(t, m.left.since.len())
	require.Empty(t, m.left.incarnations)
}
