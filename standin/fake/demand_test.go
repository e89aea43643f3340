package fake

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
)

// Sizes of the demand tests: those of an existing site.
const (
	demandDomains   = 6
	demandPerDomain = 9
	demandFrom      = 200 * sardine.Second // instant at which callers' requests begin
)

var demandStore = plan.WeightStore{AtOnce: 6, PerSecond: 4.5, Load: 16 * sardine.Second}

// demandSite returns engines without weights, and a team whose deployments are
// sized by demand.
func demandSite() ([]*Engine, []sardine.TeamSettings) {
	var engines []*Engine
	for d := range demandDomains {
		for i := range demandPerDomain {
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

// demandWorld returns a world in which callers' requests have just begun.
func demandWorld(t *testing.T, seed uint64) *World {
	t.Helper()
	engines, teams := demandSite()
	w := NewWorld(seed, engines, teams, WithReportedStore(demandStore), WithBound(missingBound))
	require.NoError(t, w.Run(demandFrom))
	w.OpenTraffic()
	return w
}

// TestVMsAreSharedByDemand: most VMs serve, and the deployments' VMs are in
// about the ratio of their demands.
func TestVMsAreSharedByDemand(t *testing.T) {
	w := demandWorld(t, 1)
	large, small := w.Serving("large"), w.Serving("small")
	require.Greater(t, 4*large+3*small, demandDomains*demandPerDomain*3/4, "most VMs serve")
	require.InDelta(t, 0.57/0.43, float64(4*large)/float64(3*small), 0.4, "%d large, %d small", large, small)
}

// TestGroupsOfUnequalSizeShareVMs: groups of 16 and of 4 in domains of 37 VMs,
// as large sites have them, have the same demand, so that each deployment
// should get about the same number of VMs that serve. The large groups are
// complete for 0.8 of the time, the small ones for 0.95, so the VMs are
// compared with these weights.
func TestGroupsOfUnequalSizeShareVMs(t *testing.T) {
	var engines []*Engine
	for d := range demandDomains {
		for i := range 37 {
			engines = append(engines, demandEngine(d, i))
		}
	}
	_, teams := demandSite()
	teams[0].Deployments[0].GroupSize, teams[0].Deployments[0].Demand = 16, 0.5
	teams[0].Deployments[1].GroupSize, teams[0].Deployments[1].Demand = 4, 0.5
	w := NewWorld(1, engines, teams, WithReportedStore(plan.WeightStore{AtOnce: 40, PerSecond: 30, Load: demandStore.Load}), WithBound(missingBound))
	require.NoError(t, w.Run(demandFrom))
	large, small := w.Serving("large"), w.Serving("small")
	require.GreaterOrEqual(t, 16*large+4*small, 37*demandDomains*95/100, "%d large, %d small", large, small)
	require.InDelta(t, 0.8*16*float64(large), 0.95*4*float64(small), 16, "%d large, %d small", large, small)
}

// TestLoadsBeginTogetherBeforeTraffic: before callers' requests begin, the
// planner starts loads without regard to the capacity of the weight store;
// after that never more than the store serves at the full rate.
func TestLoadsBeginTogetherBeforeTraffic(t *testing.T) {
	engines, teams := demandSite()
	w := NewWorld(1, engines, teams, WithReportedStore(demandStore), WithBound(missingBound))
	maxLoads := 0
	for w.now < 30*sardine.Second {
		require.NoError(t, w.Run(w.now+100))
		maxLoads = max(maxLoads, len(w.store.active))
	}
	require.Greater(t, maxLoads, 6*demandStore.AtOnce, "loads are not limited before traffic")
	require.NoError(t, w.Run(200*sardine.Second))
	w.OpenTraffic()
	for i := range 12 {
		w.Crash(w.engines[i*4])
		e := demandEngine(i%demandDomains, 100+i)
		w.Add(e)
	}
	for w.now < 260*sardine.Second {
		require.NoError(t, w.Run(w.now+100))
		require.LessOrEqual(t, len(w.store.active), demandStore.AtOnce, "at %d", w.now)
	}
}

// TestSpareOfDomainRepairsAtOnce crashes a member of a group whose domain has
// an idle VM with the model on its host. The group must serve again without a
// load from the weight store.
func TestSpareOfDomainRepairsAtOnce(t *testing.T) {
	w := demandWorld(t, 2)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	before := w.Serving("large")
	var damaged sardine.Group
	for _, g := range w.committed.Groups() {
		if g.Service == "large" && w.hasStagedSpare(g) {
			damaged = g
		}
	}
	require.NotEmpty(t, damaged.ID, "some domain has a spare")
	w.Crash(w.byVM[damaged.Members[1].VM])
	require.NoError(t, w.Run(w.now+targetLease+2*sardine.Second))
	require.Equal(t, before, w.Serving("large"))
}

// hasStagedSpare reports whether the group's domain has a VM that has its model
// on the host and is in no group that serves a deployment.
func (w *World) hasStagedSpare(g sardine.Group) bool {
	for _, e := range w.engines {
		owner, owned := w.committed.Owner(e.VM)
		idle := !owned || strings.HasPrefix(string(owner.Group), "spare.")
		if e.Domain == g.Domain && e.alive && idle && e.staged == g.Model {
			return true
		}
	}
	return false
}

// TestJoinedSpareNeedsNoHostRead crashes members one by one where an engine
// takes 1.6 s to read the weights from its host. A spare of the domain has them
// in memory already, so its group must serve again in less time.
func TestJoinedSpareNeedsNoHostRead(t *testing.T) {
	const hostTime = 1600
	engines, teams := demandSite()
	w := NewWorld(3, engines, teams, WithReportedStore(demandStore), WithBound(missingBound), WithHostTime(hostTime))
	require.NoError(t, w.Run(demandFrom))
	w.OpenTraffic()
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	repaired := 0
	for _, g := range w.committed.Groups() {
		if g.Service != "large" || !w.hasStagedSpare(g) {
			continue
		}
		before := w.Serving("large")
		w.Crash(w.byVM[g.Members[1].VM])
		for detected := false; !detected; detected = w.groupState(g.ID) != sardine.GroupServing {
			require.NoError(t, w.Run(w.now+20))
		}
		require.NoError(t, w.Run(w.now+hostTime/2))
		require.Equal(t, before, w.Serving("large"), "group %s", g.ID)
		repaired++
	}
	require.Positive(t, repaired, "some domain has a spare")
}

// TestSurvivorsAndOtherSpareFormGroup crashes a second member of a large group
// after the spare of its domain has replaced the first one, before the spare of
// the small groups has the large groups' model. The survivors and that spare are
// as many as a large group needs, and must form one.
func TestSurvivorsAndOtherSpareFormGroup(t *testing.T) {
	w, large := startedWorld(t)
	before := w.Serving("large")
	w.crashMember(t, large.ID)
	w.crashMember(t, large.ID)
	require.Equal(t, before-1, w.Serving("large"))
	require.NoError(t, w.Run(w.now+demandStore.Load+5*sardine.Second))
	require.Equal(t, before, w.Serving("large"))
}

// TestOtherSpareReplacesMember guards against groups that stand idle while the
// only VM that could complete them is a spare of another deployment. The second
// member crashes after the spare of its domain has replaced the first one.
func TestOtherSpareReplacesMember(t *testing.T) {
	w, large := mixedWorld(t)
	before := w.Serving("large")
	w.crashMember(t, large.ID)
	w.crashMember(t, large.ID)
	require.Equal(t, before, w.Serving("large"))
}

// crashMember crashes a group's second member and runs until the loss is
// detected.
func (w *World) crashMember(t *testing.T, id sardine.GroupID) {
	t.Helper()
	g, found := w.committed.Group(id)
	require.True(t, found)
	w.Crash(w.byVM[g.Members[1].VM])
	require.NoError(t, w.Run(w.now+targetLease+3*sardine.Second))
}

// TestLargeGroupGetsLastSpare crashes a member of the large group of a domain,
// and another one some time later. By then the VM that was a spare for the
// small groups must be one for the large group.
func TestLargeGroupGetsLastSpare(t *testing.T) {
	w, large := mixedWorld(t)
	before := w.Serving("large")
	w.crashMember(t, large.ID)
	require.NoError(t, w.Run(w.now+demandStore.Load+5*sardine.Second))
	w.crashMember(t, large.ID)
	require.Equal(t, before, w.Serving("large"))
}

// mixedWorld returns a world that has run for a while, and the large group of a
// domain that has one group of each size.
func mixedWorld(t *testing.T) (*World, sardine.Group) {
	t.Helper()
	w := demandWorld(t, 3)
	require.NoError(t, w.Run(w.now+60*sardine.Second))
	g := w.mixedDomainGroup()
	require.NotEmpty(t, g.ID, "some domain has one group of each size")
	return w, g
}

// startedWorld returns a world in which callers' requests begin before any spare
// has a second model, and a large group like that of mixedWorld.
func startedWorld(t *testing.T) (*World, sardine.Group) {
	t.Helper()
	engines, teams := demandSite()
	w := NewWorld(3, engines, teams, WithReportedStore(demandStore), WithBound(missingBound))
	for w.now < demandFrom {
		require.NoError(t, w.Run(w.now+100))
		g := w.mixedDomainGroup()
		if g.State == sardine.GroupServing && w.hasStagedSpare(g) {
			w.OpenTraffic()
			return w, g
		}
	}
	t.Fatal("no domain has one group of each size and a spare")
	return nil, sardine.Group{}
}

// mixedDomainGroup returns the large group of a domain that has one group of each
// size, or an empty one.
func (w *World) mixedDomainGroup() sardine.Group {
	count := make(map[sardine.FabricDomain]map[sardine.ServiceName]int)
	for _, g := range w.committed.Groups() {
		if count[g.Domain] == nil {
			count[g.Domain] = make(map[sardine.ServiceName]int)
		}
		count[g.Domain][g.Service]++
	}
	for _, g := range w.committed.Groups() {
		if g.Service == "large" && count[g.Domain]["large"] == 1 && count[g.Domain]["small"] == 1 {
			return g
		}
	}
	return sardine.Group{}
}

func (w *World) groupState(id sardine.GroupID) sardine.GroupState {
	g, _ := w.committed.Group(id)
	return g.State
}

// TestSpotVMsLostAndReplacedInPairs loses two spot VMs for good every 3.5 s; as
// many replacements without weights start 4 s later. Loads are so slow that
// they can replace only half of the losses. On average more than half of the
// VMs must be in groups that serve, which is more than if every group waited
// for a load of its own.
func TestSpotVMsLostAndReplacedInPairs(t *testing.T) {
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
		require.Greater(t, mean, float64(demandDomains*demandPerDomain)/2, "seed %d: VMs in serving groups after %d losses", seed, lost)
	}
}

// TestDomainOutageNeedsNoLoads crashes a whole domain for some seconds. Its
// hosts keep their models, so that its groups need no load.
func TestDomainOutageNeedsNoLoads(t *testing.T) {
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

// TestLateOrdersJoinNoSecondGroup loses, delays and duplicates orders while
// members crash and return. A join order without a reply may or may not have
// been carried out, and the release that follows must name the epoch that the
// engine holds.
func TestLateOrdersJoinNoSecondGroup(t *testing.T) {
	for seed := range uint64(30) {
		w := demandWorld(t, 100+seed)
		w.networkFaults = NetworkFaults{LoseReply: 0.15, LoseOrder: 0.2, Delay: 0.2, Duplicate: 0.1}
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

// TestLeaderChangeKeepsGroups replaces the leader during repairs.
func TestLeaderChangeKeepsGroups(t *testing.T) {
	for seed := range uint64(6) {
		w := demandWorld(t, 20+seed)
		for i := range 6 {
			w.Crash(w.engines[(i*7+int(seed))%len(w.engines)])
			w.After(sardine.Millis(300*i), func() { w.ChangeLeader(1200, 2000) })
			require.NoError(t, w.Run(w.now+4*sardine.Second))
		}
		require.NoError(t, w.Run(w.now+30*sardine.Second))
		require.Greater(t, 4*w.Serving("large")+3*w.Serving("small"), demandDomains*demandPerDomain/2)
	}
}

// TestLeaderChangesAloneLoseNoGroup guards against a new leader, which knows no
// announcement yet, that declares sound groups lost: entry nodes would end their
// requests.
func TestLeaderChangesAloneLoseNoGroup(t *testing.T) {
	for seed := range uint64(6) {
		w := demandWorld(t, 40+seed)
		require.NoError(t, w.Run(w.now+20*sardine.Second))
		before := w.servingEpochs()
		require.NotEmpty(t, before)
		for i := range 8 {
			gap := sardine.Millis(300 + 400*((i+int(seed))%6))
			w.ChangeLeader(gap, 2*gap)
			for range 50 {
				require.NoError(t, w.Run(w.now+100))
				require.Equal(t, before, w.servingEpochs(), "seed %d, change %d", seed, i)
			}
		}
	}
}

// servingEpochs returns the epochs of the serving groups.
func (w *World) servingEpochs() map[sardine.GroupID]sardine.Epoch {
	epochs := make(map[sardine.GroupID]sardine.Epoch)
	for _, g := range w.committed.Groups() {
		if g.State == sardine.GroupServing {
			epochs[g.ID] = g.Epoch
		}
	}
	return epochs
}
