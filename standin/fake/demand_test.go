package fake

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
)

// Sizes of the demand tests: those of one of today's sites.
const (
	demandDomains = 6
	demandEach    = 9
	demandFrom    = 200 * sardine.Second // callers' requests begin
)

var demandStock = plan.WeightStore{AtOnce: 6, PerSecond: 4.5, Load: 16 * sardine.Second}

// demandSite returns empty engines and deployments by demand.
func demandSite() ([]*Engine, []sardine.TeamSettings) {
	var engines []*Engine
	for d := range demandDomains {
		for i := range demandEach {
			engines = append(engines, demandEngine(d, i))
		}
	}
	team := sardine.TeamSettings{
		Team:      plan.LayoutTeam,
		Objective: sardine.Objective{DowntimeWeight: 20, StrandedWeight: 1},
		Deployments: []sardine.Deployment{
			{Name: "large", Kind: sardine.KindEngine, Model: "m0", GroupSize: 4, Opens: true, Demand: 0.57},
			{Name: "small", Kind: sardine.KindEngine, Model: "m1", GroupSize: 3, Opens: true, Demand: 0.43},
		},
	}
	return engines, []sardine.TeamSettings{team}
}

func demandEngine(domain, i int) *Engine {
	return &Engine{
		ExactRelease: true,
		VM:           sardine.VMID(fmt.Sprintf("vm-%d-%03d", domain, i)),
		Domain:       sardine.FabricDomain(fmt.Sprintf("domain-%d", domain)),
		Accelerators: 1,
		ChecksEpoch:  true,
	}
}

// demandWorld returns a world whose requests have just begun.
func demandWorld(t *testing.T, seed uint64) *World {
	t.Helper()
	engines, teams := demandSite()
	w := NewWorld(seed, engines, teams, WithReportedStore(demandStock), WithBound(missingBound))
	require.NoError(t, w.Run(demandFrom))
	w.OpenTraffic()
	return w
}

func TestDemandSharesTheVMs(t *testing.T) {
	w := demandWorld(t, 1)
	large, small := w.Serving("large"), w.Serving("small")
	require.Greater(t, 4*large+3*small, demandDomains*demandEach*3/4, "most VMs serve")
	require.InDelta(t, 0.57/0.43, float64(4*large)/float64(3*small), 0.4, "%d large, %d small", large, small)
}

// TestUnequalGroupsShareTheVMs is the grown sites' shape: groups of 16 and of 4 in
// domains of 37 have the same demand, so that about as many VMs serve in either: the
// large groups are whole for 0.8 of the time, the small ones for 0.95.
func TestUnequalGroupsShareTheVMs(t *testing.T) {
	var engines []*Engine
	for d := range demandDomains {
		for i := range 37 {
			engines = append(engines, demandEngine(d, i))
		}
	}
	_, teams := demandSite()
	teams[0].Deployments[0].GroupSize, teams[0].Deployments[0].Demand = 16, 0.5
	teams[0].Deployments[1].GroupSize, teams[0].Deployments[1].Demand = 4, 0.5
	w := NewWorld(1, engines, teams, WithReportedStore(plan.WeightStore{AtOnce: 40, PerSecond: 30, Load: demandStock.Load}), WithBound(missingBound))
	require.NoError(t, w.Run(demandFrom))
	large, small := w.Serving("large"), w.Serving("small")
	require.GreaterOrEqual(t, 16*large+4*small, 37*demandDomains*95/100, "%d large, %d small", large, small)
	require.InDelta(t, 0.8*16*float64(large), 0.95*4*float64(small), 16, "%d large, %d small", large, small)
}

func TestLoadsBeginTogetherBeforeTraffic(t *testing.T) {
	engines, teams := demandSite()
	w := NewWorld(1, engines, teams, WithReportedStore(demandStock), WithBound(missingBound))
	most := 0
	for w.now < 30*sardine.Second {
		require.NoError(t, w.Run(w.now+100))
		most = max(most, len(w.store.active))
	}
	require.Greater(t, most, 6*demandStock.AtOnce, "nobody is delayed yet")
	require.NoError(t, w.Run(200*sardine.Second))
	w.OpenTraffic()
	for i := range 12 {
		w.Crash(w.engines[i*4])
		e := demandEngine(i%demandDomains, 100+i)
		w.Add(e)
	}
	for w.now < 260*sardine.Second {
		require.NoError(t, w.Run(w.now+100))
		require.LessOrEqual(t, len(w.store.active), demandStock.AtOnce, "at %d", w.now)
	}
}

// TestSpareOfTheDomainRepairsAtOnce loses one member of a group whose domain has a
// VM that holds the model.
func TestSpareOfTheDomainRepairsAtOnce(t *testing.T) {
	w := demandWorld(t, 2)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	before := w.Serving("large")
	var victim sardine.Group
	for _, g := range w.truth.Groups() {
		if g.Service == "large" && w.stagedSpare(g) {
			victim = g
		}
	}
	require.NotEmpty(t, victim.ID, "some domain has a spare")
	w.Crash(w.byVM[victim.Members[1].VM])
	require.NoError(t, w.Run(w.now+lease+2*sardine.Second))
	require.Equal(t, before, w.Serving("large"))
}

// stagedSpare reports whether the group's domain has a VM that holds its model and
// serves nobody.
func (w *World) stagedSpare(g sardine.Group) bool {
	for _, e := range w.engines {
		owner, owned := w.truth.Owner(e.VM)
		idle := !owned || strings.HasPrefix(string(owner.Group), "spare.")
		if e.Domain == g.Domain && e.alive && idle && e.staged == g.Model {
			return true
		}
	}
	return false
}

// TestAJoinedSpareTakesAPlaceWithoutItsHost is the pattern of members lost one by
// one where a host takes 1.6 s to give its weights to the engine: a spare of the
// domain has them in memory already.
func TestAJoinedSpareTakesAPlaceWithoutItsHost(t *testing.T) {
	const hostTime = 1600
	engines, teams := demandSite()
	w := NewWorld(3, engines, teams, WithReportedStore(demandStock), WithBound(missingBound), WithHostTime(hostTime))
	require.NoError(t, w.Run(demandFrom))
	w.OpenTraffic()
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	repaired := 0
	for _, g := range w.truth.Groups() {
		if g.Service != "large" || !w.stagedSpare(g) {
			continue
		}
		before := w.Serving("large")
		w.Crash(w.byVM[g.Members[1].VM])
		for known := false; !known; known = w.stateOf(g.ID) != sardine.GroupServing {
			require.NoError(t, w.Run(w.now+20))
		}
		require.NoError(t, w.Run(w.now+hostTime/2))
		require.Equal(t, before, w.Serving("large"), "group %s", g.ID)
		repaired++
	}
	require.Positive(t, repaired, "some domain has a spare")
}

// TestSurvivorsAndAnotherSpareMakeAGroup is the pattern of a domain that loses a
// second member of its large group after its spare has taken the first one's place:
// the survivors and the spare of the small groups are as many as a large group needs.
func TestSurvivorsAndAnotherSpareMakeAGroup(t *testing.T) {
	w, large := mixedWorld(t)
	before := w.Serving("large")
	w.crashMember(t, large.ID)
	w.crashMember(t, large.ID)
	require.Equal(t, before-1, w.Serving("large"))
	require.NoError(t, w.Run(w.now+demandStock.Load+5*sardine.Second))
	require.Equal(t, before, w.Serving("large"))
}

// crashMember crashes a group's second member and lets the loss be known.
func (w *World) crashMember(t *testing.T, id sardine.GroupID) {
	t.Helper()
	g, found := w.truth.Group(id)
	require.True(t, found)
	w.Crash(w.byVM[g.Members[1].VM])
	require.NoError(t, w.Run(w.now+lease+3*sardine.Second))
}

// TestALargeGroupGetsTheLastSpare is the pattern of a domain that loses a member of
// its large group, and some time later another one: the VM that was a spare for the
// small groups is one for the large ones by then.
func TestALargeGroupGetsTheLastSpare(t *testing.T) {
	w, large := mixedWorld(t)
	before := w.Serving("large")
	w.crashMember(t, large.ID)
	require.NoError(t, w.Run(w.now+demandStock.Load+5*sardine.Second))
	w.crashMember(t, large.ID)
	require.Equal(t, before, w.Serving("large"))
}

// mixedWorld returns a world that has run for a while, and the large group of a domain
// that has one group of each size.
func mixedWorld(t *testing.T) (*World, sardine.Group) {
	t.Helper()
	w := demandWorld(t, 3)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	count := make(map[sardine.FabricDomain]map[sardine.ServiceName]int)
	for _, g := range w.truth.Groups() {
		if count[g.Domain] == nil {
			count[g.Domain] = make(map[sardine.ServiceName]int)
		}
		count[g.Domain][g.Service]++
	}
	for _, g := range w.truth.Groups() {
		if g.Service == "large" && count[g.Domain]["large"] == 1 && count[g.Domain]["small"] == 1 {
			return w, g
		}
	}
	t.Fatal("no domain has one group of each size")
	return nil, sardine.Group{}
}

func (w *World) stateOf(id sardine.GroupID) sardine.GroupState {
	g, _ := w.truth.Group(id)
	return g.State
}

// TestLossesInTwosWithEmptyOnesInReturn is the pattern of spot VMs: two are lost
// for good every 3.5 s, and as many empty ones come 4 s later. Loads are so slow
// that they can replace half of the losses; the groups that are whole must be
// worth more than if every group waited for a load of its own.
func TestLossesInTwosWithEmptyOnesInReturn(t *testing.T) {
	for seed := range uint64(8) {
		w := demandWorld(t, seed)
		lost, served, instants := 0, 0, 0
		for step := range 10 {
			for range 2 {
				e := w.engines[w.random.IntN(len(w.engines))]
				if !e.alive {
					continue
				}
				domain := e.Domain
				w.Crash(e)
				lost++
				next := demandEngine(0, 200+20*step+lost)
				next.Domain = domain
				w.After(4*sardine.Second, func() { w.Add(next) })
			}
			until := w.now + 3500
			for w.now < until {
				require.NoError(t, w.Run(w.now+500))
				served += 4*w.Serving("large") + 3*w.Serving("small")
				instants++
			}
		}
		mean := float64(served) / float64(instants)
		require.Greater(t, mean, float64(demandDomains*demandEach)/2, "seed %d: VMs in whole groups after %d losses", seed, lost)
	}
}

// TestDomainGoesDarkAndReturns loses a whole domain for some seconds: its hosts
// keep their model, so that its groups need no load.
func TestDomainGoesDarkAndReturns(t *testing.T) {
	w := demandWorld(t, 4)
	before := w.Serving("large") + w.Serving("small")
	for _, e := range w.engines {
		if e.Domain == "domain-2" {
			w.CrashFor(e, 6700)
		}
	}
	require.NoError(t, w.Run(w.now+6*sardine.Second))
	require.Less(t, w.Serving("large")+w.Serving("small"), before)
	require.NoError(t, w.Run(w.now+8*sardine.Second))
	require.GreaterOrEqual(t, w.Serving("large")+w.Serving("small"), before-1, "less than one load time later")
}

// TestLateOrdersJoinNoSecondGroup loses, delays and repeats orders while members
// come and go: a join that was never answered may still have been taken, or may
// not, and the release that follows must name the epoch that the engine holds.
func TestLateOrdersJoinNoSecondGroup(t *testing.T) {
	for seed := range uint64(30) {
		w := demandWorld(t, 100+seed)
		w.chaos = NetworkFaults{LoseReply: 0.15, LoseOrder: 0.2, Delay: 0.2, Duplicate: 0.1}
		for step := range 12 {
			e := w.engines[w.random.IntN(len(w.engines))]
			if step%2 == 0 {
				w.Pause(e, 5*sardine.Second)
			} else if e.alive {
				w.CrashFor(e, 4*sardine.Second)
			}
			require.NoError(t, w.Run(w.now+2500), "seed %d", seed)
		}
	}
}

// TestLeaderChangeKeepsGroups replaces the leader in the middle of repairs.
func TestLeaderChangeKeepsGroups(t *testing.T) {
	for seed := range uint64(6) {
		w := demandWorld(t, 20+seed)
		for i := range 6 {
			w.Crash(w.engines[(i*7+int(seed))%len(w.engines)])
			w.After(sardine.Millis(300*i), func() { w.ChangeLeader(1200, 2000) })
			require.NoError(t, w.Run(w.now+4*sardine.Second))
		}
		require.NoError(t, w.Run(w.now+30*sardine.Second))
		require.Greater(t, 4*w.Serving("large")+3*w.Serving("small"), demandDomains*demandEach/2)
	}
}
