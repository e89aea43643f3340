package fake

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
)

// startSite is a site with two deployments whose VMs announce themselves in
// random order over a time.
type startSite struct {
	domains, vms, withinMs int
	large, small           int // group sizes
	largePercent           int // of the work
	loadsPerS              int // of the weight store, 0 for no limit
}

const (
	startLoad    = 1600 * sardine.Millis(1)
	startSettled = 5 * sardine.Second // after the last announcement
)

// TestAnnouncementOrderDoesNotDecideLayout guards against small groups that split
// the domains which large groups need when their VMs announce themselves first.
func TestAnnouncementOrderDoesNotDecideLayout(t *testing.T) {
	datadriven.RunTest(t, "testdata/start", func(t *testing.T, d *datadriven.TestData) string {
		require.Equal(t, "start", d.Cmd)
		var s startSite
		var seeds int
		d.ScanArgs(t, "seeds", &seeds)
		d.ScanArgs(t, "domains", &s.domains)
		d.ScanArgs(t, "vms", &s.vms)
		d.ScanArgs(t, "within_ms", &s.withinMs)
		d.ScanArgs(t, "large", &s.large)
		d.ScanArgs(t, "small", &s.small)
		d.ScanArgs(t, "large_percent", &s.largePercent)
		d.ScanArgs(t, "loads_per_s", &s.loadsPerS)
		large, small := s.domains*s.vms, s.domains*s.vms
		for seed := range uint64(seeds) {
			w := s.start(t, seed)
			large, small = min(large, w.Serving("large")), min(small, w.Serving("small"))
		}
		return fmt.Sprintf("at least %d large groups and %d small ones\n", large, small)
	})
}

// start returns the site's world once it has its layout.
func (s startSite) start(t *testing.T, seed uint64) *World {
	t.Helper()
	_, teams := demandSite()
	large, small := &teams[0].Deployments[0], &teams[0].Deployments[1]
	large.GroupSize, large.Demand = s.large, float64(s.largePercent)/100
	small.GroupSize, small.Demand = s.small, 1-large.Demand
	store := plan.WeightStore{AtOnce: s.domains * s.vms, PerSecond: float64(s.loadsPerS), Load: startLoad}
	w := NewWorld(seed, nil, teams, WithReportedStore(store), WithBound(missingBound))
	for domain := range s.domains {
		for i := range s.vms {
			e := demandEngine(domain, i)
			w.After(sardine.Millis(w.random.IntN(s.withinMs)), func() { w.Add(e) })
		}
	}
	require.NoError(t, w.Run(w.now+sardine.Millis(s.withinMs)+startSettled))
	return w
}

// TestReplacedDomainsRegainLayout guards against the same split where VMs announce
// themselves in random order in place of domains that were lost under load.
func TestReplacedDomainsRegainLayout(t *testing.T) {
	const lost, recovered, back = 2, 10 * sardine.Second, 120 * sardine.Second
	s := startSite{domains: 6, vms: 11, withinMs: 8000, large: 6, small: 3, largePercent: 67, loadsPerS: 14}
	for seed := range uint64(10) {
		w := s.start(t, seed)
		w.OpenTraffic()
		w.Planner().SetWeightStore(demandStore)
		w.store.atOnce, w.store.loadTime = demandStore.AtOnce, demandStore.Load
		for d := range lost {
			for i := range s.vms {
				w.Crash(w.byVM[demandEngine(d, i).VM])
				w.After(recovered+sardine.Millis(w.random.IntN(s.withinMs)), func() { w.Add(demandEngine(d, s.vms+i)) })
			}
		}
		require.NoError(t, w.Run(w.now+recovered+back))
		require.Equal(t, []int{6, 6}, []int{w.Serving("large"), w.Serving("small")}, "seed %d", seed)
	}
}
