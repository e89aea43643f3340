package fake

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestLostVMIsGivenUp: a VM that never returns is owned until the planner gives
// it up.
func TestLostVMIsGivenUp(t *testing.T) {
	w := formed(t, half)
	lost := w.groupOf("surtitles").Members[1].VM
	w.Crash(w.byVM[lost])
	require.NoError(t, w.Run(w.now+1700*sardine.Second))
	_, owned := w.truth.Owner(lost)
	require.True(t, owned)
	require.NoError(t, w.Run(w.now+200*sardine.Second))
	_, owned = w.truth.Owner(lost)
	require.False(t, owned)
}

// TestFlappingMemberIsBarred: a VM that failed three times is not taken back at
// once, though a deployment misses members.
func TestFlappingMemberIsBarred(t *testing.T) {
	engines, teams := site(1, 4, half)
	teams[0].Deployments = teams[0].Deployments[:1]
	w := NewWorld(1, engines, teams, WithHomes(2), WithBound(missingBound))
	require.NoError(t, w.Run(100*sardine.Second))
	g := w.groupOf("surtitles")
	for range 3 {
		w.CrashFor(w.byVM[g.Members[1].VM], 10*sardine.Second)
		require.NoError(t, w.Run(w.now+20*sardine.Second))
	}
	require.NoError(t, w.Run(w.now+50*sardine.Second))
	require.Zero(t, countServing(w, "surtitles"), "120 s barred after the third failure")
	require.NoError(t, w.Run(w.now+150*sardine.Second))
	require.Equal(t, 1, countServing(w, "surtitles"))
}

// TestStragglerIsReplaced: a slow member gives its place to the loaded spare; a
// slightly slow one keeps it.
func TestStragglerIsReplaced(t *testing.T) {
	w := formed(t, half)
	g := w.groupOf("surtitles")
	w.SetSlowdown(w.byVM[g.Members[1].VM], 1.3)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	same, _ := w.truth.Group(g.ID)
	require.Equal(t, g.Epoch, same.Epoch)
	w.SetSlowdown(w.byVM[g.Members[1].VM], 2)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	after, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.NotEqual(t, g.Members[1].VM, after.Members[1].VM)
}

// TestLeavingMemberGetsNoNewWork: the group of a member that announced that it
// leaves is out of routing at once, and serves again with another.
func TestLeavingMemberGetsNoNewWork(t *testing.T) {
	w := formed(t, half)
	g := w.groupOf("surtitles")
	w.Leave(w.byVM[g.Members[1].VM], 60*sardine.Second, 600*sardine.Second)
	require.NoError(t, w.Run(w.now+500))
	during, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupDegraded, during.State)
	require.NoError(t, w.Run(w.now+5*sardine.Second))
	after, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.NotEqual(t, g.Members[1].VM, after.Members[1].VM)
}
