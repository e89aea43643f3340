package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// engineVM returns a live engine whose host holds the models.
func engineVM(name sardine.VMID, staged ...sardine.ModelName) *vmView {
	v := &vmView{target: state.Target{VM: name, Domain: "d"}, alive: true, record: &vmRecord{}}
	v.status.Staged = staged
	return v
}

// TestGroupFormsFromLoadedVMsFirst has a domain with just enough VMs that hold
// the weights, one of them a spare, and a VM without them. The group must not use
// the empty VM and wait for its load.
func TestGroupFormsFromLoadedVMsFirst(t *testing.T) {
	dv := demandView(2, 0, 0.5)
	dv.spec.Model = "m"
	spare := &groupView{
		Group:   sardine.Group{ID: "spare.1", Model: "m", Domain: "d"},
		members: []memberView{{vm: engineVM("vm-3", "m"), condition: memberReady}},
		spare:   true,
	}
	r := &round{
		p:           New(),
		deployments: []*deploymentView{dv},
		allocated:   make(map[sardine.VMID]bool),
		free:        map[sardine.FabricDomain][]*vmView{"d": {engineVM("vm-1", "m"), engineVM("vm-2")}},
		spares:      map[sardine.FabricDomain][]*groupView{"d": {spare}},
	}
	all := r.candidates(dv, "d")
	require.Len(t, all, 3)
	require.True(t, all[0].warm && all[1].warm)
	require.Equal(t, spare, all[1].spare)
}

// TestSurvivorsKeepWeightsForLeastCoveredDeployment covers workers that are
// partitioned from the control nodes for some seconds: the surviving members of
// their dissolved group must not be ordered to load another model meanwhile.
func TestSurvivorsKeepWeightsForLeastCoveredDeployment(t *testing.T) {
	large, small := demandView(4, 1, 0.5), demandView(3, 6, 0.5)
	large.spec.Model, small.spec.Model = "m0", "m1"
	r := &round{p: New(), deployments: []*deploymentView{large, small}}
	survivors := []*vmView{engineVM("vm-1", "m0"), engineVM("vm-2", "m0")}
	for _, v := range survivors {
		v.record.survivor = true
	}
	allocated, rest := r.stageFor(small, append(survivors, engineVM("vm-3")), 3)
	require.Len(t, allocated, 1, "only the VM without weights")
	require.Equal(t, survivors, rest)
	require.Len(t, r.staging, 1)
	allocated, _ = r.stageFor(large, survivors, 2)
	require.Len(t, allocated, 2)
	require.Len(t, r.staging, 1, "the VMs hold the model already")
	r.now = survivorHoldLoads * r.p.limits.LoadTime
	allocated, _ = r.stageFor(small, survivors, 3)
	require.Len(t, allocated, 2, "the hold period is over")
}
