package gauge

import (
	"fmt"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/standin/fake"
)

// objectiveNames returns the names of the objectives.
func objectiveNames() []string {
	return []string{"adinkra", "dobra"}
}

// objectiveNamed returns the two users' weights, per group-second without service and
// per accelerator-second powered and not serving.
func objectiveNamed(name string) (o sardine.Objective, ok bool) {
	switch name {
	case "adinkra":
		return sardine.Objective{DowntimeWeight: 100, StrandedWeight: 1}, true
	case "dobra":
		return sardine.Objective{DowntimeWeight: 5, StrandedWeight: 1}, true
	default:
		return sardine.Objective{}, false
	}
}

// groupSite is a fleet and what it is to serve.
type groupSite struct {
	engines  []*fake.Engine
	teams    []sardine.TeamSettings
	atOnce   int // loads that the weight store serves at its full rate
	loadTime sardine.Millis
	warmUp   sardine.Millis // in which groups form before the measurement starts
}

// smallSite has about 50 workers in 6 domains of unequal size, a valuable
// deployment and one that wants as many groups as the fleet can serve besides
// when nothing fails and no spare is held back.
func smallSite(seed uint64, o sardine.Objective) (groupSite, error) {
	const most = 30
	calm := smallFleet(seed, o, most)
	w := calm.world(seed, plan.NewFixed(plan.RepairReform))
	if err := w.Run(calm.warmUp); err != nil {
		return groupSite{}, err
	}
	fitting := 0
	for _, g := range w.Machine().Groups() {
		if g.Service == "drafts" {
			fitting++
		}
	}
	return smallFleet(seed, o, fitting), nil
}

func smallFleet(seed uint64, o sardine.Objective, drafts int) groupSite {
	random := rand.New(rand.NewPCG(seed, 1))
	s := groupSite{atOnce: 4, loadTime: 40 * sardine.Second, warmUp: 900 * sardine.Second}
	for d := range 6 {
		s.addDomain(d, 8+random.IntN(3), 4)
	}
	s.teams = []sardine.TeamSettings{{
		Team:      "team",
		Objective: o,
		Deployments: []sardine.Deployment{
			engineKind("main", 4, 8, 1, 4),
			engineKind("drafts", 2, drafts, 0, 1),
		},
	}}
	return s
}

// largeSite has the target size's 840 workers and 3,300 accelerators in 12 domains,
// with groups of 32, 8 and 4 VMs.
func largeSite(o sardine.Objective) groupSite {
	s := groupSite{atOnce: 16, loadTime: 40 * sardine.Second, warmUp: 3600 * sardine.Second}
	for d := range 12 {
		s.addDomain(d, 70, 4)
	}
	for i, e := range s.engines {
		if i%14 == 0 {
			e.Accelerators = 3
		}
	}
	s.teams = []sardine.TeamSettings{{
		Team:      "team",
		Objective: o,
		Deployments: []sardine.Deployment{
			engineKind("large", 32, 12, 1, 8),
			engineKind("main", 8, 36, 1, 4),
			engineKind("drafts", 4, 36, 0, 1),
		},
	}}
	return s
}

func (s *groupSite) addDomain(d, vms, accelerators int) {
	for i := range vms {
		s.engines = append(s.engines, &fake.Engine{
			VM:           sardine.VMID(fmt.Sprintf("vm-%02d-%03d", d, i)),
			Domain:       sardine.FabricDomain(fmt.Sprintf("domain-%02d", d)),
			Accelerators: accelerators,
			Loadable:     []sardine.ModelName{"large", "main", "drafts"},
			ChecksEpoch:  i%2 == 0,
		})
	}
}

func engineKind(name string, size, groups, spares int, value float64) sardine.Deployment {
	return sardine.Deployment{
		Name:         sardine.ServiceName(name),
		Kind:         sardine.KindEngine,
		Model:        sardine.ModelName(name),
		ModelVersion: "1",
		GroupSize:    size,
		Groups:       groups,
		Spares:       spares,
		Value:        value,
	}
}
