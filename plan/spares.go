package plan

import (
	"math"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// baseFailureRate is the assumed rate of failures per VM and second before any
// are observed: one in three months.
const baseFailureRate = 1.0 / (90 * 24 * 3600)

// spareCase describes the spares that a deployment may keep in a domain.
func (r *round) spareCase(dv *deploymentView, d sardine.FabricDomain) SpareCase {
	vms := 0
	for _, g := range dv.groups {
		if g.Domain == d {
			vms += len(g.Members)
		}
	}
	return SpareCase{
		Objective:       dv.objective,
		Value:           dv.value(),
		Wanted:          dv.spec.Spares,
		VMs:             vms,
		Failures:        r.failures(),
		LoadTime:        r.p.limits.LoadTime,
		OpportunityCost: r.spareOpportunityCost(dv, d),
	}
}

// failures returns the rate of failures per VM and second over FlapWindow.
func (r *round) failures() float64 {
	if r.failureRate > 0 {
		return r.failureRate
	}
	count := 0
	for _, v := range r.vms {
		for _, at := range v.record.failures {
			if at+r.p.limits.FlapWindow > r.now {
				count++
			}
		}
	}
	window := seconds(r.p.limits.FlapWindow)
	r.failureRate = baseFailureRate + float64(count)/(window*float64(max(len(r.vms), 1)))
	return r.failureRate
}

// spareOpportunityCost returns the cost per second of keeping a VM as a spare
// instead of using it in a group that a less valuable deployment lacks.
func (r *round) spareOpportunityCost(dv *deploymentView, d sardine.FabricDomain) float64 {
	cost := 0.0
	for _, other := range r.deployments {
		if other.value() >= dv.value() || other.missing() <= 0 {
			continue
		}
		perVM := other.downtimeRate()/float64(other.spec.GroupSize) + dv.objective.StrandedWeight*r.acceleratorsPerVM(d)
		cost = math.Max(cost, perVM)
	}
	return cost
}

// acceleratorsPerVM returns the number of accelerators of a VM of a domain.
func (r *round) acceleratorsPerVM(d sardine.FabricDomain) float64 {
	for _, v := range r.free[d] {
		return float64(v.target.Accelerators)
	}
	for _, s := range r.spares[d] {
		return float64(s.members[0].vm.target.Accelerators)
	}
	return 1
}

// keepSpares loads spares in the domains of a deployment's groups. With idle it
// also uses VMs that no group needs; otherwise it only reserves VMs ahead of
// less valuable deployments.
func (r *round) keepSpares(dv *deploymentView, idle bool) {
	seen := make(map[sardine.FabricDomain]bool)
	for _, g := range dv.groups {
		if seen[g.Domain] {
			continue
		}
		seen[g.Domain] = true
		held, more := r.p.policy.SparesToKeep(r.spareCase(dv, g.Domain))
		want := held + r.extraSpares[spareKey{deployment: dv.DeploymentKey, domain: g.Domain}]
		if idle {
			want += more
		}
		r.loadSpares(dv, g.Domain, want-r.spareCount(dv, g.Domain))
	}
}

func (r *round) spareCount(dv *deploymentView, d sardine.FabricDomain) int {
	count := 0
	for _, s := range r.spares[d] {
		v := s.members[0]
		if s.Team == dv.Team && s.Model == dv.spec.Model && s.Version == dv.spec.ModelVersion && !v.condition.missing() && !r.allocated[v.VM] {
			count++
		}
	}
	return count
}

func (r *round) loadSpares(dv *deploymentView, d sardine.FabricDomain, count int) {
	for _, p := range r.freeIn(d, dv.spec.Model, dv.spec.ModelVersion) {
		if count <= 0 {
			return
		}
		count--
		r.loadSpare(dv, d, p)
	}
}

// loadSpare makes a VM a spare for a deployment.
func (r *round) loadSpare(dv *deploymentView, d sardine.FabricDomain, p candidate) {
	g := sardine.Group{
		ID:      r.p.newID("spare.", dv.DeploymentKey),
		Team:    dv.Team,
		Model:   dv.spec.Model,
		Version: dv.spec.ModelVersion,
		Domain:  d,
		Members: []sardine.Member{memberOf(p.vm, 0)},
	}
	r.p.groups[g.ID] = &groupRecord{since: r.now, placement: "a spare for " + string(dv.Service)}
	r.propose(nil, []sardine.VMID{p.vm.target.VM}, state.AssignGroup{Group: g})
}
