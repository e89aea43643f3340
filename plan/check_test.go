package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// brokenRound returns a round with two groups that share a VM, which the state
// machine never allows.
func brokenRound(second sardine.GroupState) *round {
	v := &vmView{registered: true, owned: true, owner: state.Owner{Group: "a"}, record: &vmRecord{}}
	v.target.Incarnation = 1
	group := func(id sardine.GroupID, s sardine.GroupState) *groupView {
		m := sardine.Member{VM: "vm", Incarnation: 1}
		return &groupView{
			Group:   sardine.Group{ID: id, State: s, Members: []sardine.Member{m}},
			members: []memberView{{Member: m, vm: v, condition: memberReady}},
		}
	}
	return &round{groups: []*groupView{group("a", sardine.GroupServing), group("b", second)}}
}

func TestCheckFindsVMInTwoGroups(t *testing.T) {
	require.True(t, codes.Is(brokenRound(sardine.GroupAssigned).check(), codes.InvariantBroken))
	require.NoError(t, brokenRound(sardine.GroupFenced).check())
}

func TestCheckFindsServingWithoutMember(t *testing.T) {
	r := brokenRound(sardine.GroupFenced)
	r.groups[0].members[0].vm.target.Incarnation = 2
	require.True(t, codes.Is(r.check(), codes.InvariantBroken))
}

func TestCheckFindsForeignOwner(t *testing.T) {
	r := brokenRound(sardine.GroupFenced)
	r.groups[0].members[0].vm.owner = state.Owner{Group: "c"}
	require.True(t, codes.Is(r.check(), codes.InvariantBroken))
}
