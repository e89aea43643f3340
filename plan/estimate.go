package plan

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// orderRoundTrip is the expected time from proposing a command until the
	// members that need no load announce that they are ready.
	orderRoundTrip = sardine.Second
	// expectedLeave is the expected time from a VM's leave notice until it
	// stops.
	expectedLeave = 30 * sardine.Second
	// expectedDrain is the expected duration of a drain.
	expectedDrain = 4 * sardine.Second
)

// repair is a degraded group and the means to repair it.
type repair struct {
	g          *groupView
	missing    []memberView
	spares     []candidate // for all missing members, or nil
	reform     []candidate // for all missing members, or nil
	victim     *groupView
	repairCase RepairCase
}

// newRepair finds the possible repair actions for a group.
func (r *round) newRepair(g *groupView) *repair {
	x := &repair{g: g, missing: g.missing()}
	x.repairCase = RepairCase{
		Group:     g.ID,
		Objective: g.deployment.objective,
		Value:     g.value(),
		Down:      r.now - g.record.downSince,
		Missing:   len(x.missing),
	}
	need := len(x.missing)
	spares := r.sparesIn(g.Domain, g.Team, g.Model, g.Version)
	free := r.freeIn(g.Domain, g.Model, g.Version)
	back := r.recoveredMembers(g, x.missing)
	x.spares = firstN(append(spares, warmOnly(free)...), need)
	x.reform = firstN(append(append(warmOnly(free), back...), coldOnly(free)...), need)
	if x.reform == nil {
		x.reform = firstN(append(append(append([]candidate(nil), spares...), free...), back...), need)
	}
	r.estimate(x, len(free)+len(back)+len(spares))
	return x
}

func firstN(all []candidate, n int) []candidate {
	if len(all) < n || n == 0 {
		return nil
	}
	return all[:n]
}

func warmOnly(all []candidate) []candidate {
	var kept []candidate
	for _, p := range all {
		if p.warm {
			kept = append(kept, p)
		}
	}
	return kept
}

func coldOnly(all []candidate) []candidate {
	var kept []candidate
	for _, p := range all {
		if !p.warm {
			kept = append(kept, p)
		}
	}
	return kept
}

// estimate lists the possible repair actions with their expected time and cost,
// those that change least first.
func (r *round) estimate(x *repair, have int) {
	rate := r.costRate(x.g)
	add := func(action RepairAction, ready sardine.Millis, more float64, victim sardine.GroupID) {
		cost := seconds(ready)*rate + more
		x.repairCase.Actions = append(x.repairCase.Actions, Estimate{Action: action, Ready: ready, Cost: cost, Victim: victim})
	}
	if x.spares != nil {
		add(RepairSpare, orderRoundTrip, 0, "")
	}
	if x.reform != nil {
		add(RepairReform, r.fillTime(x.reform), 0, "")
	}
	wait := r.returnTime(x.missing)
	add(RepairWait, wait, 0, "")
	if x.reform != nil || x.spares != nil {
		return
	}
	if v, cost := r.victimFor(x, len(x.missing)-have, wait); v != nil {
		x.victim = v
		add(RepairPreempt, r.preemptTime(x, v), cost, v.ID)
	}
	r.estimateDissolve(x, wait)
}

// costRate returns the cost per second of a group that does not serve.
func (r *round) costRate(g *groupView) float64 {
	return g.deployment.downtimeRate() + g.deployment.objective.StrandedWeight*float64(g.accelerators())
}

func (r *round) fillTime(picks []candidate) sardine.Millis {
	cold := len(coldOnly(picks))
	if cold == 0 {
		return orderRoundTrip
	}
	return orderRoundTrip + r.p.limits.loadDelay(r.loading+cold-1)
}

// returnTime returns the expected time until all missing members are back and
// ready.
func (r *round) returnTime(missing []memberView) sardine.Millis {
	longest := sardine.Millis(0)
	for _, m := range missing {
		absent := sardine.Millis(0)
		if m.vm.record.absentSince != 0 {
			absent = r.now - m.vm.record.absentSince
		}
		left := r.p.returnHistory.remaining(absent, r.p.limits.ExpectedAbsence, r.p.limits.LoadTime)
		switch {
		case m.condition == memberLeaving:
			left += expectedLeave
		case m.vm.alive:
			left = max(m.vm.record.excludedUntil-r.now, 0) + r.p.limits.loadDelay(r.loading)
		}
		longest = max(longest, left)
	}
	return longest
}

// victimFor returns the group of the domain whose members are the cheapest to
// use, and the cost of its expected outage.
func (r *round) victimFor(x *repair, need int, outage sardine.Millis) (victim *groupView, cost float64) {
	for _, v := range r.groups {
		if v == x.g || v.deployment == nil || v.Domain != x.g.Domain || v.busy || !v.active() || v.record.drain != notDraining {
			continue
		}
		takes := r.preemptibleMembers(v, x.g.Model)
		if takes < need || r.p.waitingGroups[v.ID] != "" || r.awaiting(v) {
			continue
		}
		if v.State == sardine.GroupServing && v.value() >= x.g.value() {
			continue
		}
		c := r.victimCost(v, need, outage)
		if victim == nil || c < cost {
			victim, cost = v, c
		}
	}
	return victim, cost
}

// preemptibleMembers counts the members of a group that could load a model.
func (r *round) preemptibleMembers(v *groupView, model sardine.ModelName) int {
	count := 0
	for _, m := range v.members {
		if m.vm.alive && !m.condition.missing() && m.vm.canLoad(model) {
			count++
		}
	}
	return count
}

// awaiting reports whether a group itself waits for a victim's members. Victims
// without live members don't count.
func (r *round) awaiting(g *groupView) bool {
	for victim, taker := range r.p.waitingGroups {
		if v := r.byID[victim]; taker == g.ID && v != nil && v.accelerators() > 0 {
			return true
		}
	}
	return false
}

// victimCost returns the cost of a group's outage, and of the idle time of its
// members that are not needed.
func (r *round) victimCost(v *groupView, need int, outage sardine.Millis) float64 {
	downtimeRate := v.deployment.downtimeRate()
	if v.State != sardine.GroupServing {
		missing := v.missing()
		outage = max(outage-r.returnTime(missing), 0)
	}
	share := float64(len(v.members)-need) / float64(len(v.members))
	idle := v.deployment.objective.StrandedWeight * float64(v.accelerators()) * share
	return seconds(outage+r.p.limits.LoadTime) * (downtimeRate + idle)
}

func (r *round) preemptTime(x *repair, v *groupView) sardine.Millis {
	drain := expectedDrain
	if v.State != sardine.GroupServing {
		drain = 0
	}
	if v.Model == x.g.Model && v.Version == x.g.Version {
		return drain + 2*orderRoundTrip
	}
	return drain + 2*orderRoundTrip + r.p.limits.loadDelay(r.loading)
}

// estimateDissolve adds the estimate for dissolving the group: it may be formed
// again in another domain, or its members may complete other groups until it
// can be.
func (r *round) estimateDissolve(x *repair, wait sardine.Millis) {
	g := x.g
	w := g.deployment.objective
	load := r.p.limits.loadDelay(r.loading + len(g.members) - 1)
	ready := wait + load
	extra := 0.0
	if elsewhere, cost, open := r.reformElsewhere(g, wait); open {
		ready = elsewhere
		extra = cost
	}
	reused, gain := r.reusableShare(g)
	idle := w.StrandedWeight * float64(g.accelerators()) * (1 - reused)
	cost := seconds(ready)*g.deployment.downtimeRate() + seconds(max(wait, ready))*idle + extra - gain*seconds(max(wait-r.p.limits.LoadTime, 0))
	x.repairCase.Actions = append(x.repairCase.Actions, Estimate{Action: RepairDissolve, Ready: ready, Cost: cost})
}

// reformElsewhere returns how soon a group could be formed from free VMs of
// another domain, or from the members of less valuable groups there, and the
// cost of their outage.
func (r *round) reformElsewhere(g *groupView, outage sardine.Millis) (ready sardine.Millis, cost float64, open bool) {
	load := r.p.limits.loadDelay(r.loading + len(g.members) - 1)
	for _, d := range r.domains() {
		if d != g.Domain && len(r.candidates(g.deployment, d)) >= len(g.members) {
			return load + orderRoundTrip, 0, true
		}
	}
	p := r.preemption(g.deployment, g.Domain, outage)
	if p.victims == nil {
		return 0, 0, false
	}
	return load + expectedDrain + 2*orderRoundTrip, p.cost, true
}

// reusableShare returns the share of a group's live members that could complete
// groups that other deployments lack, and the value of those groups per second.
func (r *round) reusableShare(g *groupView) (share, gain float64) {
	have := len(g.members) - len(g.missing())
	alive := have
	if alive == 0 {
		return 1, 0
	}
	have += len(r.free[g.Domain])
	used := 0
	for _, dv := range r.deployments {
		if dv == g.deployment || dv.missing() <= 0 || !g.canRun(dv) {
			continue
		}
		n := min(dv.missing(), (have-used)/dv.spec.GroupSize)
		used += n * dv.spec.GroupSize
		gain += float64(n) * dv.downtimeRate()
	}
	return float64(min(used, alive)) / float64(alive), gain
}

// canRun reports whether the group's live members can load a deployment's
// model.
func (g *groupView) canRun(dv *deploymentView) bool {
	for _, m := range g.members {
		if m.vm.alive && !m.vm.canLoad(dv.spec.Model) {
			return false
		}
	}
	return true
}
