package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// engineVM returns a live engine whose host holds the models.
func engineVM(name sardine.VMID, staged ...sardine.ModelName) *vmView {
	v := &vmView{target: state.Target{VM: name, Domain: "d"}, alive: true, note: &vmNote{}}
	v.status.Staged = staged
	return v
}

// TestAGroupFormsOfWhatIsLoaded is the pattern of a domain that has just enough VMs
// with the weights, one of them a spare, when an empty VM comes: the group must not
// take the empty one and wait for its load.
func TestAGroupFormsOfWhatIsLoaded(t *testing.T) {
	k := demanded(2, 0, 0.5)
	k.deployment.Model = "m"
	spare := &groupView{
		Group:   sardine.Group{ID: "spare.1", Model: "m", Domain: "d"},
		members: []memberView{{vm: engineVM("vm-3", "m"), condition: memberReady}},
		spare:   true,
	}
	r := &round{
		p:      New(),
		kinds:  []*kindView{k},
		taken:  make(map[sardine.VMID]bool),
		free:   map[sardine.FabricDomain][]*vmView{"d": {engineVM("vm-1", "m"), engineVM("vm-2")}},
		spares: map[sardine.FabricDomain][]*groupView{"d": {spare}},
	}
	all := r.candidates(k, "d")
	require.Len(t, all, 3)
	require.True(t, all[0].warm && all[1].warm)
	require.Equal(t, spare, all[1].spare)
}

// TestSurvivorsKeepTheirWeights is the pattern of workers that are cut off from the
// control nodes for some seconds: the others of their group, which was given up, are
// not told to load another model meanwhile.
func TestSurvivorsKeepTheirWeights(t *testing.T) {
	large, small := demanded(4, 1, 0.5), demanded(3, 6, 0.5)
	large.deployment.Model, small.deployment.Model = "m0", "m1"
	r := &round{p: New(), kinds: []*kindView{large, small}}
	survivors := []*vmView{engineVM("vm-1", "m0"), engineVM("vm-2", "m0")}
	for _, v := range survivors {
		v.note.survivor = true
	}
	taken, rest := r.stageFor(small, append(survivors, engineVM("vm-3")), 3)
	require.Len(t, taken, 1, "the empty one")
	require.Equal(t, survivors, rest)
	require.Len(t, r.staging, 1)
	taken, _ = r.stageFor(large, survivors, 2)
	require.Len(t, taken, 2)
	require.Len(t, r.staging, 1, "they hold it already")
	r.now = keepLoads * r.p.limits.LoadTime
	taken, _ = r.stageFor(small, survivors, 3)
	require.Len(t, taken, 2, "nobody came for long")
}
