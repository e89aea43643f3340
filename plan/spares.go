package plan

import (
	"math"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// usualFailures is the rate of failures per VM and second that counts as long as
// none were seen: one in three months.
const usualFailures = 1.0 / (90 * 24 * 3600)

// stock describes what spares a deployment may keep in a domain.
func (r *round) stock(k *kindView, d sardine.FabricDomain) Stock {
	vms := 0
	for _, g := range k.groups {
		if g.Domain == d {
			vms += len(g.Members)
		}
	}
	return Stock{
		Objective: k.objective,
		Value:     k.value(),
		Wanted:    k.deployment.Spares,
		VMs:       vms,
		Failures:  r.failures(),
		LoadTime:  r.p.limits.LoadTime,
		Lost:      r.lostBySpare(k, d),
	}
}

// failures returns the rate of failures per VM and second over the window.
func (r *round) failures() float64 {
	if r.failureRate > 0 {
		return r.failureRate
	}
	count := 0
	for _, v := range r.vms {
		for _, at := range v.note.failures {
			if at+r.p.limits.FlapWindow > r.now {
				count++
			}
		}
	}
	window := seconds(r.p.limits.FlapWindow)
	r.failureRate = usualFailures + float64(count)/(window*float64(max(len(r.vms), 1)))
	return r.failureRate
}

// lostBySpare returns the cost per second of a spare's VM not being in a group
// of a less valuable deployment that misses groups.
func (r *round) lostBySpare(k *kindView, d sardine.FabricDomain) float64 {
	lost := 0.0
	for _, other := range r.kinds {
		if other.value() >= k.value() || other.missing() <= 0 {
			continue
		}
		perVM := other.down()/float64(other.deployment.GroupSize) + k.objective.StrandedWeight*r.perVM(d)
		lost = math.Max(lost, perVM)
	}
	return lost
}

// perVM returns the accelerators of a VM of a domain.
func (r *round) perVM(d sardine.FabricDomain) float64 {
	for _, v := range r.free[d] {
		return float64(v.target.Accelerators)
	}
	for _, s := range r.spares[d] {
		return float64(s.members[0].vm.target.Accelerators)
	}
	return 1
}

// keepSpares loads spares in the domains of a deployment's groups. With idle it
// uses the VMs that are left over, else it holds VMs back from less valuable
// deployments.
func (r *round) keepSpares(k *kindView, idle bool) {
	seen := make(map[sardine.FabricDomain]bool)
	for _, g := range k.groups {
		if seen[g.Domain] {
			continue
		}
		seen[g.Domain] = true
		held, more := r.p.policy.Hold(r.stock(k, g.Domain))
		want := held + r.wants[stockKey{kind: k.Kind, domain: g.Domain}]
		if idle {
			want += more
		}
		r.loadSpares(k, g.Domain, want-r.spareCount(k, g.Domain))
	}
}

func (r *round) spareCount(k *kindView, d sardine.FabricDomain) int {
	count := 0
	for _, s := range r.spares[d] {
		v := s.members[0]
		if s.Team == k.Team && s.Model == k.deployment.Model && s.Version == k.deployment.ModelVersion && !v.condition.missing() && !r.taken[v.VM] {
			count++
		}
	}
	return count
}

func (r *round) loadSpares(k *kindView, d sardine.FabricDomain, count int) {
	for _, p := range r.freeIn(d, k.deployment.Model, k.deployment.ModelVersion) {
		if count <= 0 {
			return
		}
		count--
		r.loadSpare(k, d, p)
	}
}

// loadSpare makes a VM a spare for a deployment.
func (r *round) loadSpare(k *kindView, d sardine.FabricDomain, p pick) {
	g := sardine.Group{
		ID:      r.p.newID("spare.", k.Kind),
		Team:    k.Team,
		Model:   k.deployment.Model,
		Version: k.deployment.ModelVersion,
		Domain:  d,
		Members: []sardine.Member{memberOf(p.vm, 0)},
	}
	r.p.groups[g.ID] = &groupNote{since: r.now, placed: "a spare for " + string(k.Service)}
	r.propose(nil, []sardine.VMID{p.vm.target.VM}, state.AssignGroup{Group: g})
}
