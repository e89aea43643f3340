package plan

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// stagingLife is how many load times a staging may take until it counts as lost:
// the store slows down when many load at once.
const stagingLife = 4

// cheap reports whether loads delay nobody, since callers' requests have not
// begun.
func (r *round) cheap() bool {
	return !r.p.logged.trafficOpen && r.p.starts.perSecond > 0
}

// repairByDemand fills the places of a group's missing members by warm VMs of its
// domain, or ends the group: its other members are then warm VMs for those that
// can be whole at once.
func (r *round) repairByDemand(g *groupView) {
	missing := g.missing()
	picks := r.substitutes(g)
	if len(picks) >= len(missing) {
		r.refill(g, missing, picks[:len(missing)], missing[0].reason()+", a warm VM takes its place")
		return
	}
	r.dissolve(g, missing[0].reason()+" and no warm VM of the domain is free")
	r.dropKindGroup(g)
}

// substitutes returns the VMs of a group's domain that may take a member's place,
// those that are ready soonest first: spares that have joined, VMs whose host has
// the weights, and spares that are about to join.
func (r *round) substitutes(g *groupView) []pick {
	picks := r.sparesIn(g.Domain, g.Team, g.Model, g.Version)
	free := r.freeIn(g.Domain, g.Model, g.Version)
	if !r.cheap() {
		free = warmOnly(free)
	}
	picks = append(picks, free...)
	for _, s := range r.spares[g.Domain] {
		v := s.members[0].vm
		if r.usableSpare(s) && s.Team == g.Team && s.Model == g.Model && s.Version == g.Version && !s.ready() && v.warm(g.Model, g.Version) {
			picks = append(picks, pick{vm: v, spare: s, warm: true})
		}
	}
	return picks
}

func (m memberView) reason() string {
	return "member " + string(m.VM) + " is " + m.condition.String()
}

// stagePlan is one VM and the model that its host should hold.
type stagePlan struct {
	vm    *vmView
	model sardine.ModelName
}

// planStaging decides which models the free VMs should hold: a spare for each
// deployment with groups in the domain, then what makes another group whole.
func (r *round) planStaging() {
	r.staging = r.staging[:0]
	if !r.live.Settled() || r.cheap() && r.p.newestAt+joinPause > r.now {
		return // more VMs may be about to be heard of, and to form groups with these
	}
	for _, d := range r.domains() {
		r.stageDomain(d)
	}
}

func (r *round) stageDomain(d sardine.FabricDomain) {
	if r.releasing(d) {
		return // what its members can do together is not known before all are free
	}
	free := r.stageWhole(d, r.freeVMs(d))
	for _, k := range r.kindsIn(d) {
		if r.spareCount(k, d) > 0 {
			continue
		}
		if len(free) == 0 && r.cedeSpare(k, d) {
			return
		}
		free = r.stageSpare(k, d, free)
	}
	for len(free) > 0 {
		k := r.nextKind(d, len(free))
		if k == nil {
			return
		}
		var taken []*vmView
		taken, free = r.stageFor(k, free, k.deployment.GroupSize)
		if len(taken) == 0 {
			return
		}
	}
}

// releasing reports whether members of a group or a spare that was given up are still
// told to leave it.
func (r *round) releasing(d sardine.FabricDomain) bool {
	for _, g := range r.groups {
		if g.Domain != d || g.State != sardine.GroupFenced {
			continue
		}
		if slices.ContainsFunc(g.members, func(m memberView) bool { return m.vm.alive && m.vm.owned && m.vm.owner.Group == g.ID }) {
			return true
		}
	}
	return false
}

// stageWhole takes a whole group of the deployment whose demand is met least out of
// the free VMs of a domain, if there are so many, and returns the rest. It gives up
// spares of other deployments for that: a group serves, a spare waits.
func (r *round) stageWhole(d sardine.FabricDomain, free []*vmView) []*vmView {
	k := r.neediest()
	if k == nil {
		return free
	}
	var others []*groupView
	for _, s := range r.spares[d] {
		if r.usableSpare(s) && s.Model != k.deployment.Model && s.members[0].vm.canLoad(k.deployment.Model) {
			others = append(others, s)
		}
	}
	lacking := k.deployment.GroupSize - len(free) - r.spareCount(k, d)
	if lacking > len(others) {
		return free
	}
	for _, s := range others[:max(lacking, 0)] {
		r.move(s, sardine.GroupFenced, "its VM makes a group of "+string(k.Service)+" whole")
	}
	_, rest := r.stageFor(k, free, k.deployment.GroupSize-r.spareCount(k, d))
	return rest
}

// neediest returns the deployment whose demand is met least, nil without one.
func (r *round) neediest() *kindView {
	var needed *kindView
	for _, k := range r.kinds {
		if k.byDemand() && (needed == nil || k.coverage() < needed.coverage()) {
			needed = k
		}
	}
	return needed
}

// cedeSpare gives up a spare of a deployment with smaller groups, so that its VM
// becomes one for a deployment without: a larger group loses more VMs with a member.
func (r *round) cedeSpare(k *kindView, d sardine.FabricDomain) bool {
	for _, other := range r.kindsIn(d) {
		if other.deployment.GroupSize >= k.deployment.GroupSize {
			continue
		}
		for _, s := range r.spares[d] {
			if r.usableSpare(s) && s.Model == other.deployment.Model && s.members[0].vm.canLoad(k.deployment.Model) {
				r.move(s, sardine.GroupFenced, "its VM becomes a spare for "+string(k.Service))
				return true
			}
		}
	}
	return false
}

// stageSpare takes one VM as a spare for a deployment and returns the rest. One
// whose host has the weights joins a group of its own: an engine that was a member
// of any group of the model joins the next one much sooner than it reads the weights
// from its host.
func (r *round) stageSpare(k *kindView, d sardine.FabricDomain, free []*vmView) []*vmView {
	taken, rest := r.stageFor(k, free, 1)
	if len(taken) > 0 && taken[0].warm(k.deployment.Model, k.deployment.ModelVersion) {
		r.loadSpare(k, d, pick{vm: taken[0], warm: true})
	}
	return rest
}

// freeVMs returns the VMs of a domain that no group takes in this round.
func (r *round) freeVMs(d sardine.FabricDomain) []*vmView {
	var free []*vmView
	for _, v := range r.free[d] {
		if !r.taken[v.target.VM] && !v.target.Leaving {
			free = append(free, v)
		}
	}
	return free
}

// kindsIn returns the deployments by demand with groups in a domain, the one with
// the larger groups first: it loses most with a member.
func (r *round) kindsIn(d sardine.FabricDomain) []*kindView {
	var kinds []*kindView
	for _, k := range r.kinds {
		if k.byDemand() && slices.ContainsFunc(k.groups, func(g *groupView) bool { return g.Domain == d }) {
			kinds = append(kinds, k)
		}
	}
	slices.SortStableFunc(kinds, func(a, b *kindView) int { return b.deployment.GroupSize - a.deployment.GroupSize })
	return kinds
}

// nextKind returns the deployment that should get the next group of a domain with
// a number of free VMs: the one whose demand is met least of those that fit, or
// of all if none does.
func (r *round) nextKind(d sardine.FabricDomain, free int) *kindView {
	var fits, needed *kindView
	for _, k := range r.kinds {
		if !k.byDemand() {
			continue
		}
		if needed == nil || k.coverage() < needed.coverage() {
			needed = k
		}
		if k.deployment.GroupSize <= free && (fits == nil || k.coverage() < fits.coverage()) {
			fits = k
		}
	}
	if fits != nil {
		return fits
	}
	if in := r.kindsIn(d); len(in) > 0 {
		return in[0]
	}
	return needed
}

// stageFor takes up to count VMs for a deployment, those that hold its model
// first, plans the staging of the others, and returns the rest.
func (r *round) stageFor(k *kindView, free []*vmView, count int) (taken, rest []*vmView) {
	model := k.deployment.Model
	var usable, held []*vmView
	for _, v := range free {
		if r.mayRestage(v, k) {
			usable = append(usable, v)
		} else {
			held = append(held, v)
		}
	}
	slices.SortStableFunc(usable, func(a, b *vmView) int { return b.closeness(model) - a.closeness(model) })
	count = min(count, len(usable))
	for _, v := range usable[:count] {
		if v.canLoad(model) && !v.warm(model, k.deployment.ModelVersion) && v.note.staging != model {
			r.staging = append(r.staging, stagePlan{vm: v, model: model})
		}
	}
	return usable[:count], append(usable[count:], held...)
}

// keepLoads is how many load times a survivor of a group keeps the weights of the
// deployment in greatest need, in case that enough others for a group come: to load
// them again would take as long.
const keepLoads = 2

// mayRestage reports whether a VM may load a deployment's model. The survivors of a
// group of the deployment in greatest need keep their weights for a while: the mates
// that they lack may only be silent, or come soon. A spare has no mates.
func (r *round) mayRestage(v *vmView, k *kindView) bool {
	need := r.neediest()
	if need == nil || need == k || !v.note.survivor || !v.warm(need.deployment.Model, need.deployment.ModelVersion) {
		return true
	}
	return v.note.freeSince+keepLoads*r.p.limits.LoadTime <= r.now
}

// closeness tells how near a VM is to holding a model: 3 holds it, 2 is told to,
// 1 holds nothing that another deployment could use.
func (v *vmView) closeness(model sardine.ModelName) int {
	switch {
	case slices.Contains(v.status.Staged, model):
		return 3
	case v.note.staging == model:
		return 2
	case len(v.status.Staged) == 0 && v.note.staging == "":
		return 1
	default:
		return 0
	}
}

// stagingUnderWay counts the hosts that load for no group, and gives up those
// that take too long.
func (r *round) stagingUnderWay() int {
	count := 0
	for _, vm := range r.sorted {
		v := r.vms[vm]
		n := v.note
		if n.staging == "" {
			continue
		}
		late := n.stagingAt+stagingLife*r.p.limits.LoadTime <= r.now
		if !v.alive || late || slices.Contains(v.status.Staged, n.staging) {
			n.staging = ""
			continue
		}
		count++
	}
	return count
}

// sendStaging sends the planned orders as far as the weight store has room.
func (r *round) sendStaging(room int) {
	for _, s := range r.staging {
		if room <= 0 {
			return
		}
		if s.vm.note.staging != "" || !r.mayOrder(s.vm) || r.taken[s.vm.target.VM] {
			continue
		}
		room--
		r.noteLoad()
		s.vm.note.staging = s.model
		s.vm.note.stagingAt = r.now
		r.out.Orders = append(r.out.Orders, SendOrder{
			VM:          s.vm.target.VM,
			Incarnation: s.vm.target.Incarnation,
			Address:     s.vm.target.Address,
			Order:       sardine.Order{VM: s.vm.target.VM, Model: s.model, Stage: true},
		})
	}
}
