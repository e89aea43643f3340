package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// TestLeavingMembersGroupEndsItsWork: a group that is drained, since a member
// leaves, gets nothing new and keeps what it has; one that lost a member is broken
// off at once.
func TestLeavingMembersGroupEndsItsWork(t *testing.T) {
	m := state.NewMachine()
	index := uint64(0)
	look := func(commands ...state.Command) (current, lost bool) {
		for _, c := range commands {
			index++
			require.NoError(t, m.Apply(index, 1, c).Err)
		}
		v, _ := newView(m, "e1", nil, nil)
		c := route.Candidate{Ref: route.Ref{Group: "g", Epoch: m.Groups()[0].Epoch}}
		return v.current(c), v.lost(c)
	}
	var members []sardine.Member
	for _, vm := range []sardine.VMID{"a", "b"} {
		target := state.Target{VM: vm, Incarnation: 1, Kind: sardine.KindEngine, Address: string(vm) + ":80"}
		index++
		require.NoError(t, m.Apply(index, 1, state.TargetUp{Target: target}).Err)
		members = append(members, sardine.Member{VM: vm, Incarnation: 1, Address: target.Address})
	}
	look(state.AssignGroup{Group: sardine.Group{ID: "g", Team: "t", Service: "s", Model: "m", Members: members, State: sardine.GroupAssigned}})
	epoch := m.Groups()[0].Epoch
	current, lost := look(state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupLoading}, state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupServing})
	require.True(t, current)
	require.False(t, lost)
	current, lost = look(state.TargetLeaving{VM: "b", Incarnation: 1}, state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupDegraded})
	require.False(t, current)
	require.False(t, lost, "b stays while the group has work")
	current, lost = look(state.TargetDown{VM: "b", Incarnation: 1})
	require.False(t, current)
	require.True(t, lost)
}
