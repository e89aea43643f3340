package fake

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

func noneChecksEpoch(int) bool { return false }

// servingWorld returns a world whose groups all serve.
func servingWorld(t *testing.T, checks func(int) bool) *World {
	t.Helper()
	engines, teams := site(3, 7, checks)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	requireAllServing(t, w)
	return w
}

// groupOf returns the first group of a deployment.
func (w *World) groupOf(service sardine.ServiceName) sardine.Group {
	for _, g := range w.committed.Groups() {
		if g.Service == service {
			return g
		}
	}
	return sardine.Group{}
}

// TestSpareServesWithinDetectionTime: with a loaded spare, a group that loses a
// member serves again within 3.5 s: the detection of the loss, one order with
// its reply, and one announcement.
func TestSpareServesWithinDetectionTime(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	g := w.groupOf("surtitles")
	w.Crash(w.byVM[g.Members[1].VM])
	require.NoError(t, w.Run(w.now+3500))
	after, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.Greater(t, after.Epoch, g.Epoch)
}

// TestNewIncarnationStartsNewEpoch: when a member restarts within a heartbeat
// interval, its group gets a new epoch, although no announcement was missing.
func TestNewIncarnationStartsNewEpoch(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	g := w.groupOf("surtitles")
	w.CrashFor(w.byVM[g.Members[0].VM], 50)
	require.NoError(t, w.Run(w.now+sardine.Second))
	after, _ := w.committed.Group(g.ID)
	require.Greater(t, after.Epoch, g.Epoch)
}

// TestLateOrderIsCorrected: engines that ignore epochs carry out an old order
// that arrives late. The group stops serving until the engine has the right
// order again.
func TestLateOrderIsCorrected(t *testing.T) {
	w := servingWorld(t, noneChecksEpoch)
	g := w.groupOf("surtitles")
	m := g.Members[2]
	late := sardine.Order{Group: "older", Epoch: 1, Size: 1, Model: g.Model, Version: g.Version}
	_, _ = w.deliverOrder(plan.SendOrder{VM: m.VM, Order: late})
	require.NotEmpty(t, w.brokenReason(g))
	require.NoError(t, w.Run(w.now+150))
	during, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupDegraded, during.State)
	require.NoError(t, w.Run(w.now+2*sardine.Second))
	after, _ := w.committed.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.Empty(t, w.brokenReason(after))
}

// TestEngineRefusesLateOrder: an engine that checks epochs rejects an old order
// that arrives late.
func TestEngineRefusesLateOrder(t *testing.T) {
	w := servingWorld(t, func(int) bool { return true })
	g := w.groupOf("surtitles")
	late := sardine.Order{Group: "older", Epoch: 1, Size: 1, Model: g.Model, Version: g.Version}
	_, err := w.deliverOrder(plan.SendOrder{VM: g.Members[2].VM, Order: late})
	require.True(t, codes.Is(err, codes.EpochRefused))
	require.Empty(t, w.brokenReason(g))
}

// TestRolloutKeepsFloor rolls out a new model version to all groups. The number
// of serving groups never falls below the floor, and in the end all groups have
// the new version.
func TestRolloutKeepsFloor(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	w.teams[0].Deployments[0].ModelVersion = "2"
	w.teams[0].Deployments[0].Floor = 2
	w.SetTeams(w.teams)
	minServing := 3
	for range 600 {
		require.NoError(t, w.Run(w.now+sardine.Second))
		serving, rolled := 0, 0
		for _, g := range w.committed.Groups() {
			if g.Service != "surtitles" || g.State != sardine.GroupServing {
				continue
			}
			serving++
			if g.Version == "2" {
				rolled++
			}
		}
		minServing = min(minServing, serving)
		if rolled == 3 {
			require.Equal(t, 2, minServing)
			return
		}
	}
	t.Fatal("the version was not rolled out")
}

// TestBoundCatchesLateDetection shows that the check of WithBound fails when a
// group stays routable without a member for longer than the bound.
func TestBoundCatchesLateDetection(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	w.checker.bound = 500
	w.Crash(w.byVM[w.groupOf("surtitles").Members[1].VM])
	require.True(t, codes.Is(w.Run(w.now+10*sardine.Second), codes.InvariantBroken))
}

// TestEpochCheck shows that the checks fail when an epoch does not rise.
func TestEpochCheck(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	g := w.groupOf("drafts")
	w.checker.checkCommit(w, state.AssignGroup{Group: g}, state.Result{Epoch: g.Epoch})
	require.True(t, codes.Is(w.err, codes.InvariantBroken))
}

// TestDissolvedDeploymentFreesVMs removes a deployment from the settings. All
// its VMs become free.
func TestDissolvedDeploymentFreesVMs(t *testing.T) {
	w := servingWorld(t, halfCheckEpochs)
	w.teams[0].Deployments = w.teams[0].Deployments[:1]
	w.SetTeams(w.teams)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	require.Empty(t, w.groupOf("drafts").ID)
	free := 0
	for _, s := range w.Planner().Stages() {
		if s.Stage == plan.StageFree {
			free++
		}
	}
	require.Equal(t, 21-3*5, free)
}

// TestTwoBrokenGroupsFormOne: two groups of a domain lack a member each and no
// VM is free. The members of one must complete the other.
func TestTwoBrokenGroupsFormOne(t *testing.T) {
	engines, teams := site(1, 8, halfCheckEpochs)
	teams[0].Deployments = teams[0].Deployments[:1]
	teams[0].Deployments[0].Groups = 2
	w := NewWorld(1, engines, teams, WithHomes(2), WithBound(missingBound))
	require.NoError(t, w.Run(200*sardine.Second))
	requireAllServing(t, w)
	for _, g := range w.committed.Groups() {
		w.Crash(w.byVM[g.Members[1].VM])
	}
	require.NoError(t, w.Run(w.now+15*sardine.Second))
	serving := 0
	for _, g := range w.committed.Groups() {
		t.Log(w.Planner().Explain(g.ID))
		if g.State == sardine.GroupServing {
			serving++
		}
	}
	require.Equal(t, 1, serving)
}

// TestDomainOutageMovesValuableGroup: a domain fails while a less valuable
// deployment uses the VMs of the others. The valuable group is formed anew from
// these VMs.
func TestDomainOutageMovesValuableGroup(t *testing.T) {
	engines, teams := site(3, 8, halfCheckEpochs)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	requireAllServing(t, w)
	w.crashDomain("domain-1", 3600*sardine.Second)
	require.NoError(t, w.Run(w.now+120*sardine.Second))
	for _, g := range w.committed.Groups() {
		t.Log(w.Planner().Explain(g.ID))
	}
	require.Equal(t, 3, countServing(w, "surtitles"))
}

// TestNoWaitForMembersOfFailedGroup: the members of a failing domain fall
// silent one after the other, so the planner may repair a group with members of
// another group that fail as well. It must not go on waiting for them.
func TestNoWaitForMembersOfFailedGroup(t *testing.T) {
	engines, teams := site(3, 6, halfCheckEpochs)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	w.crashDomain("domain-1", 3600*sardine.Second)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	for _, g := range w.committed.Groups() {
		require.NotContains(t, w.Planner().Explain(g.ID), "Waiting: it waits for the members of another group.")
	}
}

func countServing(w *World, service sardine.ServiceName) int {
	count := 0
	for _, g := range w.committed.Groups() {
		if g.Service == service && g.State == sardine.GroupServing {
			count++
		}
	}
	return count
}
