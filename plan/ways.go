package plan

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// orderTrip is the expected time from a command's proposal until the members
	// that need no load announce that they are ready.
	orderTrip = sardine.Second
	// leaveNotice is the expected time from a VM's notice until it is gone.
	leaveNotice = 30 * sardine.Second
	// drainUsual is the expected time of a drain.
	drainUsual = 4 * sardine.Second
)

// repair is one degraded group and what could be done about it.
type repair struct {
	g       *groupView
	missing []memberView
	spares  []pick // fill all places, or nil
	reform  []pick // fill all places, or nil
	victim  *groupView
	ways    Case
}

// newRepair finds the ways that are open to a group.
func (r *round) newRepair(g *groupView) *repair {
	x := &repair{g: g, missing: g.missing()}
	x.ways = Case{
		Group:     g.ID,
		Objective: g.kind.objective,
		Value:     g.value(),
		Down:      r.now - g.note.downFrom,
		Missing:   len(x.missing),
	}
	need := len(x.missing)
	spares := r.sparesIn(g.Domain, g.Team, g.Model, g.Version)
	free := r.freeIn(g.Domain, g.Model, g.Version)
	back := r.returned(g, x.missing)
	x.spares = firstN(append(spares, warmOnly(free)...), need)
	x.reform = firstN(append(append(warmOnly(free), back...), coldOnly(free)...), need)
	if x.reform == nil {
		x.reform = firstN(append(append(append([]pick(nil), spares...), free...), back...), need)
	}
	r.estimate(x, len(free)+len(back)+len(spares))
	return x
}

func firstN(all []pick, n int) []pick {
	if len(all) < n || n == 0 {
		return nil
	}
	return all[:n]
}

func warmOnly(all []pick) []pick {
	var kept []pick
	for _, p := range all {
		if p.warm {
			kept = append(kept, p)
		}
	}
	return kept
}

func coldOnly(all []pick) []pick {
	var kept []pick
	for _, p := range all {
		if !p.warm {
			kept = append(kept, p)
		}
	}
	return kept
}

// estimate lists the open ways with their expected time and cost, those that
// change least first.
func (r *round) estimate(x *repair, have int) {
	rate := r.rateOf(x.g)
	add := func(way Way, ready sardine.Millis, more float64, victim sardine.GroupID) {
		cost := seconds(ready)*rate + more
		x.ways.Ways = append(x.ways.Ways, Estimate{Way: way, Ready: ready, Cost: cost, Victim: victim})
	}
	if x.spares != nil {
		add(WaySpare, orderTrip, 0, "")
	}
	if x.reform != nil {
		add(WayReform, r.fillTime(x.reform), 0, "")
	}
	wait := r.returnTime(x.missing)
	add(WayWait, wait, 0, "")
	if x.reform != nil || x.spares != nil {
		return
	}
	if v, cost := r.victimFor(x, len(x.missing)-have, wait); v != nil {
		x.victim = v
		add(WayTake, r.takeTime(x, v), cost, v.ID)
	}
	r.estimateDissolve(x, wait)
}

// rateOf returns the cost per second of a group that does not serve.
func (r *round) rateOf(g *groupView) float64 {
	return g.kind.down() + g.kind.objective.StrandedWeight*float64(g.accelerators())
}

func (r *round) fillTime(picks []pick) sardine.Millis {
	cold := len(coldOnly(picks))
	if cold == 0 {
		return orderTrip
	}
	return orderTrip + r.p.limits.loadDelay(r.loading+cold-1)
}

// returnTime is the expected time until all missing members are back and ready.
func (r *round) returnTime(missing []memberView) sardine.Millis {
	longest := sardine.Millis(0)
	for _, m := range missing {
		gone := sardine.Millis(0)
		if m.vm.note.goneSince != 0 {
			gone = r.now - m.vm.note.goneSince
		}
		left := r.p.history.remaining(gone, r.p.limits.Return, r.p.limits.LoadTime)
		switch {
		case m.condition == memberLeaving:
			left += leaveNotice
		case m.vm.alive:
			left = max(m.vm.note.barredUntil-r.now, 0) + r.p.limits.loadDelay(r.loading)
		}
		longest = max(longest, left)
	}
	return longest
}

// victimFor returns the group of the domain whose members cost least to take,
// and that cost over the time for which they are expected to be missed.
func (r *round) victimFor(x *repair, need int, missed sardine.Millis) (victim *groupView, cost float64) {
	for _, v := range r.groups {
		if v == x.g || v.kind == nil || v.Domain != x.g.Domain || v.busy || !v.active() || v.note.drain != notDraining {
			continue
		}
		takes := r.takeable(v, x.g.Model)
		if takes < need || r.p.awaits[v.ID] != "" || r.awaiting(v) {
			continue
		}
		if v.State == sardine.GroupServing && v.value() >= x.g.value() {
			continue
		}
		c := r.victimCost(v, need, missed)
		if victim == nil || c < cost {
			victim, cost = v, c
		}
	}
	return victim, cost
}

// takeable counts the members of a group that could load a model.
func (r *round) takeable(v *groupView, model sardine.ModelName) int {
	count := 0
	for _, m := range v.members {
		if m.vm.alive && !m.condition.missing() && m.vm.canLoad(model) {
			count++
		}
	}
	return count
}

// awaiting reports whether a group waits for a victim's members itself. It does
// not wait for a victim that has died meanwhile.
func (r *round) awaiting(g *groupView) bool {
	for victim, taker := range r.p.awaits {
		if v := r.byID[victim]; taker == g.ID && v != nil && v.accelerators() > 0 {
			return true
		}
	}
	return false
}

// victimCost is what it costs to do without a group for a while, and to have
// those of its members idle that are not taken.
func (r *round) victimCost(v *groupView, need int, missed sardine.Millis) float64 {
	down := v.kind.down()
	if v.State != sardine.GroupServing {
		missing := v.missing()
		missed = max(missed-r.returnTime(missing), 0)
	}
	share := float64(len(v.members)-need) / float64(len(v.members))
	idle := v.kind.objective.StrandedWeight * float64(v.accelerators()) * share
	return seconds(missed+r.p.limits.LoadTime) * (down + idle)
}

func (r *round) takeTime(x *repair, v *groupView) sardine.Millis {
	drain := drainUsual
	if v.State != sardine.GroupServing {
		drain = 0
	}
	if v.Model == x.g.Model && v.Version == x.g.Version {
		return drain + 2*orderTrip
	}
	return drain + 2*orderTrip + r.p.limits.loadDelay(r.loading)
}

// estimateDissolve weighs ending the group: it may be formed anew in another
// domain, or its members may complete other groups until it can be.
func (r *round) estimateDissolve(x *repair, wait sardine.Millis) {
	g := x.g
	w := g.kind.objective
	load := r.p.limits.loadDelay(r.loading + len(g.members) - 1)
	ready := wait + load
	extra := 0.0
	if anew, cost, open := r.anew(g, wait); open {
		ready = anew
		extra = cost
	}
	lent, gain := r.lend(g)
	idle := w.StrandedWeight * float64(g.accelerators()) * (1 - lent)
	cost := seconds(ready)*g.kind.down() + seconds(max(wait, ready))*idle + extra - gain*seconds(max(wait-r.p.limits.LoadTime, 0))
	x.ways.Ways = append(x.ways.Ways, Estimate{Way: WayDissolve, Ready: ready, Cost: cost})
}

// anew returns how soon a group could be formed from free VMs of another domain,
// or from the members of less valuable groups there, and what these cost while
// they are missed.
func (r *round) anew(g *groupView, missed sardine.Millis) (ready sardine.Millis, cost float64, open bool) {
	load := r.p.limits.loadDelay(r.loading + len(g.members) - 1)
	for _, d := range r.domains() {
		if d != g.Domain && len(r.candidates(g.kind, d)) >= len(g.members) {
			return load + orderTrip, 0, true
		}
	}
	p := r.preemption(g.kind, g.Domain, missed)
	if p.victims == nil {
		return 0, 0, false
	}
	return load + drainUsual + 2*orderTrip, p.cost, true
}

// lend returns which share of a group's live members could complete groups that
// other deployments miss, and what those groups are worth per second.
func (r *round) lend(g *groupView) (share, gain float64) {
	have := len(g.members) - len(g.missing())
	alive := have
	if alive == 0 {
		return 1, 0
	}
	have += len(r.free[g.Domain])
	used := 0
	for _, k := range r.kinds {
		if k == g.kind || k.missing() <= 0 || !g.canRun(k) {
			continue
		}
		n := min(k.missing(), (have-used)/k.deployment.GroupSize)
		used += n * k.deployment.GroupSize
		gain += float64(n) * k.down()
	}
	return float64(min(used, alive)) / float64(alive), gain
}

// canRun reports whether the group's live members can load a deployment's model.
func (g *groupView) canRun(k *kindView) bool {
	for _, m := range g.members {
		if m.vm.alive && !m.vm.canLoad(k.deployment.Model) {
			return false
		}
	}
	return true
}
