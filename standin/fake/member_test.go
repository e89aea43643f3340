package fake

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestLostVMIsReleased: in the replicated state, a VM that never returns stays
// assigned until the planner releases it, between 1,700 s and 1,900 s after its
// loss.
func TestLostVMIsReleased(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	lost := w.groupOf("surtitles").Members[1].VM
	w.Crash(w.byVM[lost])
	require.NoError(t, w.Run(w.now+1700*sardine.Second))
	_, owned := w.committed.Owner(lost)
	require.True(t, owned)
	require.NoError(t, w.Run(w.now+200*sardine.Second))
	_, owned = w.committed.Owner(lost)
	require.False(t, owned)
}

// TestFlappingMemberIsExcluded: a VM that has failed three times is not used
// again at once, although its deployment lacks members.
func TestFlappingMemberIsExcluded(t *testing.T) {
	engines, teams := site(1, 4, halfCheckEpochs)
	teams[0].Deployments = teams[0].Deployments[:1]
	w := NewWorld(1, engines, teams, WithHomes(2), WithBound(missingBound))
	require.NoError(t, w.Run(100*sardine.Second))
	g := w.groupOf("surtitles")
	for range 3 {
		w.CrashFor(w.byVM[g.Members[1].VM], 10*sardine.Second)
		require.NoError(t, w.Run(w.now+20*sardine.Second))
	}
	require.NoError(t, w.Run(w.now+50*sardine.Second))
	require.Zero(t, countServing(w, "surtitles"), "excluded for 120 s after the third failure")
	require.NoError(t, w.Run(w.now+150*sardine.Second))
	require.Equal(t, 1, countServing(w, "surtitles"))
}

// TestStragglerIsReplaced: a loaded spare replaces a member that is twice as
// slow as the others; a member that is 1.3 times as slow stays.
func TestStragglerIsReplaced(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	g := w.groupOf("surtitles")
	w.SetSlowdown(w.byVM[g.Members[1].VM], 1.3)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	same, _ := w.committed.Group(g.ID)
	require.Equal(t, g.Epoch, same.Epoch)
	w.SetSlowdown(w.byVM[g.Members[1].VM], 2)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	after, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.NotEqual(t, g.Members[1].VM, after.Members[1].VM)
}

// TestLeavingMemberGetsNoNewWork: when a member announces that it leaves, its
// group is taken out of routing at once, and serves again with another member.
func TestLeavingMemberGetsNoNewWork(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	g := w.groupOf("surtitles")
	w.Leave(w.byVM[g.Members[1].VM], 60*sardine.Second, 600*sardine.Second)
	require.NoError(t, w.Run(w.now+500))
	during, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupDegraded, during.State)
	require.NoError(t, w.Run(w.now+5*sardine.Second))
	after, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.NotEqual(t, g.Members[1].VM, after.Members[1].VM)
}

// TestMissingReportsExcludeNoMember guards against VMs that are excluded as unstable
// since all of them seemed to be lost at one moment, when the nodes to which they
// announce themselves were out of contact.
func TestMissingReportsExcludeNoMember(t *testing.T) {
	engines, teams := site(1, 4, halfCheckEpochs)
	teams[0].Deployments = teams[0].Deployments[:1]
	w := NewWorld(1, engines, teams, WithHomes(2), WithBound(missingBound))
	require.NoError(t, w.Run(100*sardine.Second))
	for i := range 2 {
		w.DisconnectHome(i, 60*sardine.Second)
	}
	require.NoError(t, w.Run(w.now+50*sardine.Second))
	require.Zero(t, countServing(w, "surtitles"))
	require.NoError(t, w.Run(w.now+15*sardine.Second))
	require.Equal(t, 1, countServing(w, "surtitles"))
	w.CrashFor(w.byVM[w.groupOf("surtitles").Members[1].VM], 10*sardine.Second)
	require.NoError(t, w.Run(w.now+20*sardine.Second))
	require.Equal(t, 1, countServing(w, "surtitles"), "the VM has failed once")
}
