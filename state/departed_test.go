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

func isLeaving(t *testing.T, m *Machine, vm sardine.VMID) bool {
	known, listed := m.Target(vm)
	require.True(t, listed)
	return known.Leaving
}

// TestLateReportDoesNotRestoreDepartedTarget guards against routing to a target that
// has departed. The log removes the target together with the mark that it leaves; a
// report that arrives after that must not add the target to the routes again.
func TestLateReportDoesNotRestoreDepartedTarget(t *testing.T) {
	for name, commands := range map[string][]Command{
		"dropped before the word came": {
			TargetUp{Target: plainTarget("vm1", 7)},
			TargetLeaving{VM: "vm1", Incarnation: 7},
			TargetDown{VM: "vm1", Incarnation: 7},
		},
		"not known when it gave notice": {
			TargetLeaving{VM: "vm1", Incarnation: 7},
		},
		"out of contact when it gave notice": {
			TargetUp{Target: plainTarget("vm1", 7)},
			TargetDown{VM: "vm1", Incarnation: 7},
			TargetLeaving{VM: "vm1"},
		},
		"not known when it gave notice, names no incarnation": {
			TargetLeaving{VM: "vm1"},
		},
		"gave notice twice, the second names no incarnation": {
			TargetUp{Target: plainTarget("vm1", 7)},
			TargetLeaving{VM: "vm1", Incarnation: 7},
			TargetDown{VM: "vm1", Incarnation: 7},
			TargetLeaving{VM: "vm1"},
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
			entry := entryMachine(t, m)
			for _, m := range []*Machine{m, entry} {
				require.NoError(t, m.Apply(index+1, 1000, TargetUp{Target: plainTarget("vm1", 7)}).Err)
				require.True(t, isLeaving(t, m, "vm1"), "a late report restored the departed target")
			}
			index++
			require.NoError(t, apply(TargetUp{Target: plainTarget("vm1", 8)}).Err)
			require.False(t, isLeaving(t, m, "vm1"), "the VM has started again")
			require.True(t, codes.Is(apply(TargetUp{Target: plainTarget("vm1", 7)}).Err, codes.Superseded))
		})
	}
}

// entryMachine returns the state of an entry node that follows m from a snapshot.
func entryMachine(t *testing.T, m *Machine) *Machine {
	b, err := m.EntrySnapshot()
	require.NoError(t, err)
	other, err := RestoreMachine(b)
	require.NoError(t, err)
	return other
}

// A departure of a VM of which nothing was known concerns the reports that come soon
// after it, and not a target that starts there much later.
func TestDepartureOfUnknownTargetExpires(t *testing.T) {
	m := NewMachine()
	m.Apply(1, 1000, TargetLeaving{VM: "vm1"})
	m.Apply(2, 1001+unknownDepartureTime, TargetUp{Target: plainTarget("vm1", 7)})
	require.False(t, isLeaving(t, m, "vm1"))
}

// TestEntrySnapshotIncludesDepartedTargets checks that an entry node restored from a
// snapshot still rejects late reports on departed targets.
func TestEntrySnapshotIncludesDepartedTargets(t *testing.T) {
	m := NewMachine()
	m.Apply(1, 1000, TargetLeaving{VM: "vm1", Incarnation: 7})
	b, err := m.EntrySnapshot()
	require.NoError(t, err)
	m, err = RestoreMachine(b)
	require.NoError(t, err)
	m.Apply(2, 1000, TargetUp{Target: plainTarget("vm1", 7)})
	require.True(t, isLeaving(t, m, "vm1"))
}

func TestDepartedTargetsAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range uint64(maxDeparted + 10) {
		m.Apply(i+1, 1000, TargetLeaving{VM: sardine.VMID(fmt.Sprint("vm", i)), Incarnation: 1})
	}
	require.Equal(t, maxDeparted, m.departed.recordedAt.len())
	require.Len(t, m.departed.incarnations, maxDeparted)
	m.Apply(maxDeparted+20, 1000+departureRetention, OpenTraffic{})
	require.Zero(t, m.departed.recordedAt.len())
	require.Empty(t, m.departed.incarnations)
}

func TestDroppedTargetsAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range uint64(maxDeparted + 10) {
		vm := sardine.VMID(fmt.Sprint("vm", i))
		m.Apply(2*i+1, 1000, TargetUp{Target: plainTarget(vm, 1)})
		m.Apply(2*i+2, 1000, TargetDown{VM: vm, Incarnation: 1})
	}
	require.Equal(t, maxDeparted, m.dropped.recordedAt.len())
	m.Apply(3*maxDeparted, 1000+departureRetention, OpenTraffic{})
	require.Empty(t, m.dropped.incarnations)
}
