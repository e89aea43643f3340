package plan

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// TestGroupsMakeRoomForLeastCovered guards against a deployment that keeps too few
// groups after a start, and against groups that dissolve for a small gain or while
// they serve callers.
func TestGroupsMakeRoomForLeastCovered(t *testing.T) {
	datadriven.RunTest(t, "testdata/reshape", func(t *testing.T, d *datadriven.TestData) string {
		require.Equal(t, "reshape", d.Cmd)
		var s reshapeCase
		d.ScanArgs(t, "free", &s.free)
		d.ScanArgs(t, "in_domain", &s.inDomain[0], &s.inDomain[1])
		d.ScanArgs(t, "elsewhere", &s.elsewhere[0], &s.elsewhere[1])
		d.ScanArgs(t, "sizes", &s.sizes[0], &s.sizes[1])
		d.ScanArgs(t, "large_percent", &s.largePercent)
		return s.run(d.HasArg("serving_callers"))
	})
}

// reshapeCase is a domain with free VMs and groups of a large and of a small size,
// while other domains have more groups. Pairs are for large groups and small ones.
type reshapeCase struct {
	free         int
	inDomain     [2]int
	elsewhere    [2]int
	sizes        [2]int
	largePercent int
}

// run makes room for the deployment that is covered least.
func (s reshapeCase) run(serving bool) string {
	r := s.round()
	r.p.logView.trafficOpen = serving
	next := r.leastCovered()
	if !r.makeRoom(next) {
		return fmt.Sprintf("%s: groups stay\n", next.Service)
	}
	dissolved := 0
	for _, c := range r.out.Commands {
		if m, ok := c.(state.MoveGroup); ok && m.State == sardine.GroupFenced {
			dissolved++
		}
	}
	return fmt.Sprintf("%s: %d groups make room\n", next.Service, dissolved)
}

// round returns a round that sees the case.
func (s reshapeCase) round() *round {
	r := &round{
		p:           New(),
		domainCache: []sardine.FabricDomain{"d"},
		allocated:   make(map[sardine.VMID]bool),
		free:        make(map[sardine.FabricDomain][]*vmView),
	}
	r.p.SetWeightStore(WeightStore{AtOnce: 1, PerSecond: 1})
	for range s.free {
		r.free["d"] = append(r.free["d"], r.newVM())
	}
	large := float64(s.largePercent) / 100
	for i, share := range []float64{large, 1 - large} {
		dv := demandView(s.sizes[i], 0, share)
		dv.Service = []sardine.ServiceName{"large", "small"}[i]
		for g := range s.inDomain[i] + s.elsewhere[i] {
			d := sardine.FabricDomain("d")
			if g >= s.inDomain[i] {
				d = "elsewhere"
			}
			dv.groups = append(dv.groups, r.newGroup(dv, d))
		}
		r.deployments = append(r.deployments, dv)
	}
	return r
}

// newVM returns a live VM without weights.
func (r *round) newVM() *vmView {
	v := engineVM(sardine.VMID(fmt.Sprintf("vm-%03d", len(r.sorted))))
	r.sorted = append(r.sorted, v.target.VM)
	return v
}

// newGroup returns a group of a deployment that serves no request yet.
func (r *round) newGroup(dv *deploymentView, d sardine.FabricDomain) *groupView {
	g := &groupView{
		Group:      sardine.Group{ID: r.p.newID("", dv.DeploymentKey), Domain: d, State: sardine.GroupServing},
		deployment: dv,
		record:     &groupRecord{},
	}
	for range dv.spec.GroupSize {
		g.members = append(g.members, memberView{vm: r.newVM(), condition: memberReady})
	}
	r.groups = append(r.groups, g)
	return g
}
