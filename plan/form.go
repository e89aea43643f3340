package plan

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// formGroups forms the groups that deployments lack, the most valuable first,
// and maintains their spares.
func (r *round) formGroups() {
	if !r.live.Settled() {
		return // more VMs may be about to announce themselves
	}
	r.formByDemand()
	for _, dv := range r.deployments {
		if dv.byDemand() {
			continue
		}
		for dv.missing() > 0 && r.formGroup(dv) {
			continue
		}
		if dv.missing() > 0 {
			r.preempt(dv)
		}
		r.keepSpares(dv, false)
	}
	for _, dv := range r.deployments {
		r.keepSpares(dv, true)
	}
}

// domains returns all domains with live engines, sorted.
func (r *round) domains() []sardine.FabricDomain {
	if r.domainCache == nil {
		seen := make(map[sardine.FabricDomain]bool)
		for _, v := range r.vms {
			if v.alive && !seen[v.target.Domain] {
				seen[v.target.Domain] = true
				r.domainCache = append(r.domainCache, v.target.Domain)
			}
		}
		slices.Sort(r.domainCache)
	}
	return r.domainCache
}

// candidates returns the VMs of a domain that a new group of a deployment may
// use: free ones, and spares that are not worth more than the group.
func (r *round) candidates(dv *deploymentView, d sardine.FabricDomain) []candidate {
	model, version := dv.spec.Model, dv.spec.ModelVersion
	all := r.freeIn(d, model, version)
	if h := r.reserved[d]; h.count > 0 && h.value > dv.value() {
		all = all[:max(len(all)-h.count, 0)]
	}
	for _, s := range r.spares[d] {
		v := s.members[0].vm
		if r.usableSpare(s) && v.canLoad(model) && r.mayUseSpare(s, dv) {
			all = append(all, candidate{vm: v, spare: s, warm: v.warm(model, version)})
		}
	}
	if dv.byDemand() { // prefer a spare that holds the weights to a VM without them
		all = append(warmOnly(all), coldOnly(all)...)
	}
	return all
}

// mayUseSpare reports whether a deployment's new group may use a spare. As in a
// repair, groups by demand use no spare of a deployment with larger groups.
func (r *round) mayUseSpare(s *groupView, dv *deploymentView) bool {
	for _, owner := range r.deployments {
		if owner.Team != s.Team || owner.spec.Model != s.Model {
			continue
		}
		if owner != dv && owner.byDemand() && owner.spec.GroupSize > dv.spec.GroupSize {
			return false
		}
		if owner == dv || owner.value() <= dv.value() {
			return true
		}
		held, _ := r.p.policy.SparesToKeep(r.spareCase(owner, s.Domain))
		return held == 0
	}
	return true
}

// formGroup forms one group of a deployment in the domain with the best fit.
func (r *round) formGroup(dv *deploymentView) bool {
	size := dv.spec.GroupSize
	var best []candidate
	var bestScore float64
	var domain sardine.FabricDomain
	for _, d := range r.domains() {
		all := r.candidates(dv, d)
		if len(all) < size {
			continue
		}
		if dv.byDemand() && !r.loadsUnmetered() && len(warmOnly(all)) < size {
			continue // planStaging stages the model on its VMs first
		}
		score := r.fitScore(dv, all)
		if best == nil || score > bestScore {
			best, bestScore, domain = all[:size], score, d
		}
	}
	if best == nil {
		return false
	}
	r.assign(dv, domain, best)
	return true
}

// fitScore prefers domains that have the weights loaded, then those that are
// left with few VMs that no group can use.
func (r *round) fitScore(dv *deploymentView, all []candidate) float64 {
	size := dv.spec.GroupSize
	warm := len(warmOnly(all[:size]))
	left := len(all) % size
	return float64(warm) - float64(left)/float64(size)
}

func (r *round) assign(dv *deploymentView, d sardine.FabricDomain, picks []candidate) {
	g := sardine.Group{
		ID:      r.p.newID("", dv.DeploymentKey),
		Team:    dv.Team,
		Service: dv.Service,
		Model:   dv.spec.Model,
		Version: dv.spec.ModelVersion,
		Domain:  d,
	}
	reason := fmt.Sprintf("domain %s had %d VMs to form it, %d of them with the weights loaded", d, len(picks), len(warmOnly(picks)))
	r.p.groups[g.ID] = &groupRecord{since: r.now, downSince: r.now, placement: reason}
	r.propose(nil, r.addMembers(&g, picks), state.AssignGroup{Group: g})
	dv.groups = append(dv.groups, &groupView{Group: g, deployment: dv, busy: true, record: r.p.groups[g.ID]})
}

// addMembers makes candidates the members of a new group and returns their IDs.
func (r *round) addMembers(g *sardine.Group, picks []candidate) []sardine.VMID {
	var vms []sardine.VMID
	for i, p := range picks {
		if p.spare != nil {
			r.releaseSpare(p.spare, g.ID)
		}
		g.Members = append(g.Members, memberOf(p.vm, i))
		vms = append(vms, p.vm.target.VM)
		r.allocated[p.vm.target.VM] = true
	}
	return vms
}

// preemption is a set of less valuable groups of one domain whose members,
// together with the free VMs, suffice to form a group.
type preemption struct {
	domain  sardine.FabricDomain
	victims []*groupView
	cost    float64
}

// preemption returns the preemption outside a domain with the lowest cost over
// the expected outage of its victims. It has no victims if none is possible.
func (r *round) preemption(dv *deploymentView, except sardine.FabricDomain, outage sardine.Millis) preemption {
	var best preemption
	for _, d := range r.domains() {
		if d == except {
			continue
		}
		p := r.preemptionIn(dv, d, outage)
		if p.victims != nil && (best.victims == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

func (r *round) preemptionIn(dv *deploymentView, d sardine.FabricDomain, outage sardine.Millis) preemption {
	p := preemption{domain: d}
	have := len(r.candidates(dv, d))
	for i := len(r.groups) - 1; i >= 0 && have < dv.spec.GroupSize; i-- {
		v := r.groups[i]
		if v.deployment == nil || v.Domain != d || v.busy || !v.active() || v.record.drain != notDraining || v.value() >= dv.value() {
			continue
		}
		takes := r.preemptibleMembers(v, dv.spec.Model)
		if takes == 0 {
			continue
		}
		need := min(takes, dv.spec.GroupSize-have)
		have += takes
		p.victims = append(p.victims, v)
		p.cost += r.victimCost(v, need, outage)
	}
	if have < dv.spec.GroupSize {
		return preemption{}
	}
	return p
}

// preempt dissolves less valuable groups for a group that can't be formed
// otherwise.
func (r *round) preempt(dv *deploymentView) {
	if r.reserveVictims(dv) {
		r.recordDeploymentWait(dv, "less valuable groups are being drained")
		return
	}
	p := r.preemption(dv, "", r.p.limits.Horizon)
	gain := seconds(r.p.limits.Horizon) * dv.downtimeRate()
	if p.victims == nil || !r.p.policy.Preempt(gain, p.cost) {
		r.recordDeploymentWait(dv, fmt.Sprintf("no domain has %d free VMs that can load model %s", dv.spec.GroupSize, dv.spec.Model))
		return
	}
	for _, v := range p.victims {
		r.p.waitingDeployments[v.ID] = dv.DeploymentKey
		r.dissolve(v, "its members are needed by "+string(dv.Service))
	}
	r.reserve(p.domain, dv.spec.GroupSize, dv.value())
	r.recordDeploymentWait(dv, "less valuable groups are being drained")
}

// reserveVictims reserves the VMs of victims that a deployment waits for, and
// reports whether there are any.
func (r *round) reserveVictims(dv *deploymentView) bool {
	waits := false
	for victim, waiter := range r.p.waitingDeployments {
		g := r.byID[victim]
		if waiter != dv.DeploymentKey || g == nil || g.accelerators() == 0 {
			continue
		}
		if !waits {
			r.reserve(g.Domain, dv.spec.GroupSize, dv.value())
		}
		waits = true
	}
	return waits
}

func (r *round) recordDeploymentWait(dv *deploymentView, reason string) {
	r.out.Waits = append(r.out.Waits, Wait{Team: dv.Team, Service: dv.Service, Reason: reason})
}
