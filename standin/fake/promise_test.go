package fake

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

func none(int) bool { return false }

// formed returns a world whose groups all serve.
func formed(t *testing.T, checks func(int) bool) *World {
	t.Helper()
	engines, teams := site(3, 7, checks)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	requireAllServing(t, w)
	return w
}

func (w *World) groupOf(service sardine.ServiceName) sardine.Group {
	for _, g := range w.truth.Groups() {
		if g.Service == service {
			return g
		}
	}
	return sardine.Group{}
}

// TestSpareWithinDetection: with a loaded spare, a group serves again within
// detection, one order round trip and one announcement.
func TestSpareWithinDetection(t *testing.T) {
	w := formed(t, half)
	g := w.groupOf("surtitles")
	w.Crash(w.byVM[g.Members[1].VM])
	require.NoError(t, w.Run(w.now+3500))
	after, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.Greater(t, after.Epoch, g.Epoch)
}

// TestNewIncarnationNewEpoch: a member that restarts within a heartbeat ends
// the epoch, though it was never missing.
func TestNewIncarnationNewEpoch(t *testing.T) {
	w := formed(t, half)
	g := w.groupOf("surtitles")
	w.CrashFor(w.byVM[g.Members[0].VM], 50)
	require.NoError(t, w.Run(w.now+sardine.Second))
	after, _ := w.truth.Group(g.ID)
	require.Greater(t, after.Epoch, g.Epoch)
}

// TestLateOrderIsCorrected: engines that ignore epochs take an old order that
// arrives late. Its group stops serving until the engine holds the right one.
func TestLateOrderIsCorrected(t *testing.T) {
	w := formed(t, none)
	g := w.groupOf("surtitles")
	m := g.Members[2]
	late := sardine.Order{Group: "older", Epoch: 1, Size: 1, Model: g.Model, Version: g.Version}
	_, _ = w.deliver(plan.SendOrder{VM: m.VM, Order: late})
	require.NotEmpty(t, w.broken(g))
	require.NoError(t, w.Run(w.now+150))
	during, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupDegraded, during.State)
	require.NoError(t, w.Run(w.now+2*sardine.Second))
	after, _ := w.truth.Group(g.ID)
	require.Equal(t, sardine.GroupServing, after.State)
	require.Empty(t, w.broken(after))
}

// TestEngineRefusesLateOrder: engines that check epochs keep what they hold.
func TestEngineRefusesLateOrder(t *testing.T) {
	w := formed(t, func(int) bool { return true })
	g := w.groupOf("surtitles")
	late := sardine.Order{Group: "older", Epoch: 1, Size: 1, Model: g.Model, Version: g.Version}
	_, err := w.deliver(plan.SendOrder{VM: g.Members[2].VM, Order: late})
	require.True(t, codes.Is(err, codes.EpochRefused))
	require.Empty(t, w.broken(g))
}

// TestRollKeepsFloor rolls a version through all groups: never are fewer than
// the floor serving, and in the end all have the new version.
func TestRollKeepsFloor(t *testing.T) {
	w := formed(t, half)
	w.teams[0].Deployments[0].ModelVersion = "2"
	w.teams[0].Deployments[0].Floor = 2
	w.SetTeams(w.teams)
	least := 3
	for range 600 {
		require.NoError(t, w.Run(w.now+sardine.Second))
		serving, rolled := 0, 0
		for _, g := range w.truth.Groups() {
			if g.Service != "surtitles" || g.State != sardine.GroupServing {
				continue
			}
			serving++
			if g.Version == "2" {
				rolled++
			}
		}
		least = min(least, serving)
		if rolled == 3 {
			require.Equal(t, 2, least)
			return
		}
	}
	t.Fatal("the version was not rolled out")
}

// TestBoundCatchesLateDetection shows that the world's check of routable groups
// fails when groups stay routable for longer than its bound.
func TestBoundCatchesLateDetection(t *testing.T) {
	w := formed(t, half)
	w.checker.bound = 500
	w.Crash(w.byVM[w.groupOf("surtitles").Members[1].VM])
	require.True(t, codes.Is(w.Run(w.now+10*sardine.Second), codes.InvariantBroken))
}

// TestEpochCheck shows that an epoch that does not rise is caught.
func TestEpochCheck(t *testing.T) {
	w := formed(t, half)
	g := w.groupOf("drafts")
	w.checker.commit(w, state.AssignGroup{Group: g}, state.Result{Epoch: g.Epoch})
	require.True(t, codes.Is(w.err, codes.InvariantBroken))
}

// TestDissolvedDeploymentFreesVMs ends a deployment: all its VMs become free.
func TestDissolvedDeploymentFreesVMs(t *testing.T) {
	w := formed(t, half)
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

// TestTwoBrokenGroupsMakeOne: two groups of a domain lack a member each and
// nothing is free. One gives its members to the other.
func TestTwoBrokenGroupsMakeOne(t *testing.T) {
	engines, teams := site(1, 8, half)
	teams[0].Deployments = teams[0].Deployments[:1]
	teams[0].Deployments[0].Groups = 2
	w := NewWorld(1, engines, teams, WithHomes(2), WithBound(missingBound))
	require.NoError(t, w.Run(200*sardine.Second))
	requireAllServing(t, w)
	for _, g := range w.truth.Groups() {
		w.Crash(w.byVM[g.Members[1].VM])
	}
	require.NoError(t, w.Run(w.now+15*sardine.Second))
	serving := 0
	for _, g := range w.truth.Groups() {
		t.Log(w.Planner().Explain(g.ID))
		if g.State == sardine.GroupServing {
			serving++
		}
	}
	require.Equal(t, 1, serving)
}

// TestDarkDomainMovesValuableGroup: a domain goes dark while a less valuable
// deployment fills the others. The valuable group is formed anew from these.
func TestDarkDomainMovesValuableGroup(t *testing.T) {
	engines, teams := site(3, 8, half)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	requireAllServing(t, w)
	w.darken("domain-1", 3600*sardine.Second)
	require.NoError(t, w.Run(w.now+120*sardine.Second))
	for _, g := range w.truth.Groups() {
		t.Log(w.Planner().Explain(g.ID))
	}
	require.Equal(t, 3, countServing(w, "surtitles"))
}

// TestNoWaitForDeadVictim: the members of a domain go silent one after the other,
// so a group may ask another of the same domain for members that die too. It
// must not go on waiting for them.
func TestNoWaitForDeadVictim(t *testing.T) {
	engines, teams := site(3, 6, half)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(missingBound))
	require.NoError(t, w.Run(250*sardine.Second))
	w.darken("domain-1", 3600*sardine.Second)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	for _, g := range w.truth.Groups() {
		require.NotContains(t, w.Planner().Explain(g.ID), "Waiting: it waits for the members of another group.")
	}
}

func countServing(w *World, service sardine.ServiceName) int {
	count := 0
	for _, g := range w.truth.Groups() {
		if g.Service == service && g.State == sardine.GroupServing {
			count++
		}
	}
	return count
}
