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

// objectiveNamed returns the objective of one of two users. It weighs each second
// in which a group does not serve against each second in which an accelerator is
// powered and does not serve.
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

// groupSite is a set of engines and the deployments that they should serve.
type groupSite struct {
	engines  []*fake.Engine
	teams    []sardine.TeamSettings
	maxLoads int // loads at once that the weight store serves at its full rate
	loadTime sardine.Millis
	warmUp   sardine.Millis // time for groups to form before the measurement starts
}

// smallSite returns a site of about 50 workers in 6 domains of unequal size. It
// has a valuable deployment and a second one, which wants as many groups as the
// remaining engines can serve when nothing fails and no spare is reserved.
func smallSite(seed uint64, o sardine.Objective) (groupSite, error) {
	const maxDrafts = 30
	trial := smallFleet(seed, o, maxDrafts)
	w := trial.world(seed, plan.NewFixed(plan.RepairReform))
	if err := w.Run(trial.warmUp); err != nil {
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

// smallFleet returns a small site that wants the given number of groups of the
// second deployment.
func smallFleet(seed uint64, o sardine.Objective, drafts int) groupSite {
	random := rand.New(rand.NewPCG(seed, 1))
	s := groupSite{maxLoads: 4, loadTime: 40 * sardine.Second, warmUp: 900 * sardine.Second}
	for d := range 6 {
		s.addDomain(d, 8+random.IntN(3), 4)
	}
	s.teams = []sardine.TeamSettings{{
		Team:      "team",
		Objective: o,
		Deployments: []sardine.Deployment{
			engineDeployment("main", 4, 8, 1, 4),
			engineDeployment("drafts", 2, drafts, 0, 1),
		},
	}}
	return s
}

// largeSite returns a site of the largest planned size: 840 workers with 3,300
// accelerators in 12 domains, with groups of 32, 8 and 4 VMs.
func largeSite(o sardine.Objective) groupSite {
	s := groupSite{maxLoads: 16, loadTime: 40 * sardine.Second, warmUp: 3600 * sardine.Second}
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
			engineDeployment("large", 32, 12, 1, 8),
			engineDeployment("main", 8, 36, 1, 4),
			engineDeployment("drafts", 4, 36, 0, 1),
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

func engineDeployment(name string, size, groups, spares int, value float64) sardine.Deployment {
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
