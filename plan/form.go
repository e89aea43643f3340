package plan

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// formGroups forms the groups that deployments miss, the most valuable first,
// and keeps their spares.
func (r *round) formGroups() {
	if !r.live.Settled() {
		return // more VMs may be about to be heard of
	}
	r.formByDemand()
	for _, k := range r.kinds {
		if k.byDemand() {
			continue
		}
		for k.missing() > 0 && r.formGroup(k) {
			continue
		}
		if k.missing() > 0 {
			r.preempt(k)
		}
		r.keepSpares(k, false)
	}
	for _, k := range r.kinds {
		r.keepSpares(k, true)
	}
}

// domains returns all domains with live engines, sorted.
func (r *round) domains() []sardine.FabricDomain {
	if r.known == nil {
		seen := make(map[sardine.FabricDomain]bool)
		for _, v := range r.vms {
			if v.alive && !seen[v.target.Domain] {
				seen[v.target.Domain] = true
				r.known = append(r.known, v.target.Domain)
			}
		}
		slices.Sort(r.known)
	}
	return r.known
}

// candidates returns the VMs of a domain that a new group of a deployment may
// use: free ones, and spares that are not worth more than the group.
func (r *round) candidates(k *kindView, d sardine.FabricDomain) []pick {
	model, version := k.deployment.Model, k.deployment.ModelVersion
	all := r.freeIn(d, model, version)
	if h := r.reserved[d]; h.count > 0 && h.value > k.value() {
		all = all[:max(len(all)-h.count, 0)]
	}
	for _, s := range r.spares[d] {
		v := s.members[0].vm
		if r.usableSpare(s) && v.canLoad(model) && r.mayUse(s, k) {
			all = append(all, pick{vm: v, spare: s, warm: v.warm(model, version)})
		}
	}
	if k.byDemand() { // a spare that holds the weights goes before an empty VM
		all = append(warmOnly(all), coldOnly(all)...)
	}
	return all
}

// mayUse reports whether a deployment's new group may use a spare.
func (r *round) mayUse(s *groupView, k *kindView) bool {
	for _, owner := range r.kinds {
		if owner.Team != s.Team || owner.deployment.Model != s.Model {
			continue
		}
		if owner == k || owner.value() <= k.value() {
			return true
		}
		held, _ := r.p.policy.Hold(r.stock(owner, s.Domain))
		return held == 0
	}
	return true
}

// formGroup forms one group of a deployment in the domain that it fits best.
func (r *round) formGroup(k *kindView) bool {
	size := k.deployment.GroupSize
	var best []pick
	var bestScore float64
	var domain sardine.FabricDomain
	for _, d := range r.domains() {
		all := r.candidates(k, d)
		if len(all) < size {
			continue
		}
		if k.byDemand() && !r.cheap() && len(warmOnly(all)) < size {
			continue // its VMs are staged first
		}
		score := r.fit(k, all)
		if best == nil || score > bestScore {
			best, bestScore, domain = all[:size], score, d
		}
	}
	if best == nil {
		return false
	}
	r.assign(k, domain, best)
	return true
}

// fit prefers domains that have the weights loaded, then those that are left
// with few VMs that no group can use.
func (r *round) fit(k *kindView, all []pick) float64 {
	size := k.deployment.GroupSize
	warm := len(warmOnly(all[:size]))
	left := len(all) % size
	return float64(warm) - float64(left)/float64(size)
}

func (r *round) assign(k *kindView, d sardine.FabricDomain, picks []pick) {
	g := sardine.Group{
		ID:      r.p.newID("", k.Kind),
		Team:    k.Team,
		Service: k.Service,
		Model:   k.deployment.Model,
		Version: k.deployment.ModelVersion,
		Domain:  d,
	}
	why := fmt.Sprintf("domain %s had %d VMs to form it, %d of them with the weights loaded", d, len(picks), len(warmOnly(picks)))
	r.p.groups[g.ID] = &groupNote{since: r.now, downFrom: r.now, placed: why}
	r.propose(nil, r.enlist(&g, picks), state.AssignGroup{Group: g})
	k.groups = append(k.groups, &groupView{Group: g, kind: k, busy: true, note: r.p.groups[g.ID]})
}

// enlist makes picks the members of a new group and returns their names.
func (r *round) enlist(g *sardine.Group, picks []pick) []sardine.VMID {
	var vms []sardine.VMID
	for i, p := range picks {
		if p.spare != nil {
			r.takeSpare(p.spare, g.ID)
		}
		g.Members = append(g.Members, memberOf(p.vm, i))
		vms = append(vms, p.vm.target.VM)
		r.taken[p.vm.target.VM] = true
	}
	return vms
}

// preemption is a set of less valuable groups of one domain whose members, with
// the free VMs, would form a group.
type preemption struct {
	domain  sardine.FabricDomain
	victims []*groupView
	cost    float64
}

// preemption returns the one outside a domain that costs least over the time for
// which its victims are missed, without victims if there is none.
func (r *round) preemption(k *kindView, except sardine.FabricDomain, missed sardine.Millis) preemption {
	var best preemption
	for _, d := range r.domains() {
		if d == except {
			continue
		}
		p := r.preemptionIn(k, d, missed)
		if p.victims != nil && (best.victims == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

func (r *round) preemptionIn(k *kindView, d sardine.FabricDomain, missed sardine.Millis) preemption {
	p := preemption{domain: d}
	have := len(r.candidates(k, d))
	for i := len(r.groups) - 1; i >= 0 && have < k.deployment.GroupSize; i-- {
		v := r.groups[i]
		if v.kind == nil || v.Domain != d || v.busy || !v.active() || v.note.drain != notDraining || v.value() >= k.value() {
			continue
		}
		takes := r.takeable(v, k.deployment.Model)
		if takes == 0 {
			continue
		}
		need := min(takes, k.deployment.GroupSize-have)
		have += takes
		p.victims = append(p.victims, v)
		p.cost += r.victimCost(v, need, missed)
	}
	if have < k.deployment.GroupSize {
		return preemption{}
	}
	return p
}

// preempt takes the members of less valuable groups for a group that can't be
// formed otherwise.
func (r *round) preempt(k *kindView) {
	if r.holdClaims(k) {
		r.waitKind(k, "waits until less valuable groups are drained")
		return
	}
	p := r.preemption(k, "", r.p.limits.Horizon)
	gain := seconds(r.p.limits.Horizon) * k.down()
	if p.victims == nil || !r.p.policy.Preempt(gain, p.cost) {
		r.waitKind(k, fmt.Sprintf("no domain has %d free VMs that can load model %s", k.deployment.GroupSize, k.deployment.Model))
		return
	}
	for _, v := range p.victims {
		r.p.claims[v.ID] = k.Kind
		r.dissolve(v, "its members are needed by "+string(k.Service))
	}
	r.hold(p.domain, k.deployment.GroupSize, k.value())
	r.waitKind(k, "waits until less valuable groups are drained")
}

// holdClaims reserves the VMs of victims that a deployment waits for.
func (r *round) holdClaims(k *kindView) bool {
	waits := false
	for victim, claimer := range r.p.claims {
		g := r.byID[victim]
		if claimer != k.Kind || g == nil || g.accelerators() == 0 {
			continue
		}
		if !waits {
			r.hold(g.Domain, k.deployment.GroupSize, k.value())
		}
		waits = true
	}
	return waits
}

func (r *round) waitKind(k *kindView, reason string) {
	r.out.Waits = append(r.out.Waits, Wait{Team: k.Team, Service: k.Service, Reason: reason})
}
