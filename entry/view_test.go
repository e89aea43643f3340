package entry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// A group that is drained because a member leaves gets no new requests and
// finishes those it has; the requests of a group that lost a member are
// canceled at once.
func TestGroupWithLeavingMemberFinishesItsRequests(t *testing.T) {
	m := state.NewMachine()
	index := uint64(0)
	apply := func(commands ...state.Command) (current, lost bool) {
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
	apply(state.AssignGroup{Group: sardine.Group{ID: "g", Team: "t", Service: "s", Model: "m", Members: members, State: sardine.GroupAssigned}})
	epoch := m.Groups()[0].Epoch
	current, lost := apply(state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupLoading}, state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupServing})
	require.True(t, current)
	require.False(t, lost)
	current, lost = apply(state.TargetLeaving{VM: "b", Incarnation: 1}, state.MoveGroup{Group: "g", Epoch: epoch, State: sardine.GroupDegraded})
	require.False(t, current)
	require.False(t, lost, "b stays while the group has work")
	current, lost = apply(state.TargetDown{VM: "b", Incarnation: 1})
	require.False(t, current)
	require.True(t, lost)
}

// Guards against one target with out-of-range values preventing the whole view.
// The log may contain such targets, accepted by an older program version.
func TestInvalidTargetDoesNotAffectOthers(t *testing.T) {
	m := state.NewMachine()
	layout := sardine.Layout{Number: 1, Services: []sardine.Service{{Name: "app"}}}
	for i, target := range []state.Target{
		{VM: "sound", Incarnation: 1, Kind: sardine.KindPlain, Address: "10.0.0.1:80", Service: "app"},
		{VM: "odd", Incarnation: math.MaxUint64, Kind: sardine.KindPlain, Address: "10.0.0.1:70000", Service: "app"},
		{VM: "none", Incarnation: 2, Kind: sardine.TargetKind(77), Address: "nowhere"},
	} {
		m.Apply(uint64(i+1), 1, state.TargetUp{Target: target})
	}
	b, err := m.EntrySnapshot()
	require.NoError(t, err)
	restored, err := state.RestoreMachine(b)
	require.NoError(t, err)
	v, failed := newView(restored, "e1", paths.New(layout), nil)
	require.Empty(t, failed)
	var known []sardine.VMID
	for _, all := range v.candidates {
		for _, c := range all {
			known = append(known, c.VM)
		}
	}
	require.Contains(t, known, sardine.VMID("sound"))
}
