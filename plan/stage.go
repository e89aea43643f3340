package plan

import (
	"fmt"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// stagingTimeoutLoads is the staging timeout as a multiple of the load time. The
// weight store slows down when many VMs load concurrently.
const stagingTimeoutLoads = 4

// loadsUnmetered reports whether the weight store's limits don't apply. Loads
// delay no request before callers' requests begin.
func (r *round) loadsUnmetered() bool {
	return !r.p.logView.trafficOpen && r.p.loadStarts.perSecond > 0
}

// repairByDemand replaces a group's missing members by warm VMs of its domain.
// If there are too few, it dissolves the group, whose other members are then
// warm VMs for the groups that can be complete now.
func (r *round) repairByDemand(g *groupView) {
	missing := g.missing()
	picks := r.substitutes(g)
	if len(picks) >= len(missing) {
		r.replaceMembers(g, missing, picks[:len(missing)], missing[0].reason()+", a warm VM takes its place")
		return
	}
	r.dissolve(g, missing[0].reason()+" and no warm VM of the domain is free; "+r.idleVMs(g))
	r.dropGroup(g)
}

// substitutes returns the VMs of a group's domain that may replace a member, in
// the order in which they are expected to be ready: spares that have joined,
// VMs whose host has the weights, and spares that are about to join.
func (r *round) substitutes(g *groupView) []candidate {
	picks := r.sparesIn(g.Domain, g.Team, g.Model, g.Version)
	free := r.freeIn(g.Domain, g.Model, g.Version)
	if !r.loadsUnmetered() {
		free = warmOnly(free)
	}
	picks = append(picks, free...)
	for _, s := range r.spares[g.Domain] {
		v := s.members[0].vm
		if r.usableSpare(s) && s.Team == g.Team && s.Model == g.Model && s.Version == g.Version && !s.ready() && v.warm(g.Model, g.Version) {
			picks = append(picks, candidate{vm: v, spare: s, warm: true})
		}
	}
	return append(picks, r.lentSpares(g)...)
}

// lentSpares returns the spares of deployments with smaller groups whose hosts
// have a group's model staged. A missing member idles more VMs in a larger group,
// so deployments with larger groups keep theirs.
func (r *round) lentSpares(g *groupView) []candidate {
	var picks []candidate
	for _, owner := range r.deploymentsIn(g.Domain) {
		if owner.Team != g.Team || owner.spec.GroupSize >= len(g.Members) {
			continue
		}
		for _, s := range r.spares[g.Domain] {
			v := s.members[0].vm
			if r.usableSpare(s) && s.Team == owner.Team && s.Model == owner.spec.Model && v.warm(g.Model, g.Version) {
				picks = append(picks, candidate{vm: v, spare: s, warm: true})
			}
		}
	}
	return picks
}

// idleVMs describes the VMs of a group's domain that can't complete the group.
func (r *round) idleVMs(g *groupView) string {
	others := 0
	for _, s := range r.spares[g.Domain] {
		if r.usableSpare(s) && s.Model != g.Model {
			others++
		}
	}
	return fmt.Sprintf("%d VMs have no group, %d are spares of other models", len(r.freeVMs(g.Domain)), others)
}

func (m memberView) reason() string {
	return "member " + string(m.VM) + " is " + m.condition.String()
}

// stagePlan is a VM and the model that its host should load.
type stagePlan struct {
	vm    *vmView
	model sardine.ModelName
}

// planStaging decides which models the hosts of free VMs should load: one spare
// for each deployment with groups in the domain, then the members of further
// groups.
func (r *round) planStaging() {
	r.staging, r.secondStaging = r.staging[:0], r.secondStaging[:0]
	if !r.live.Settled() || r.awaitsArrivals() {
		return // VMs that have yet to announce themselves may form groups with these
	}
	for _, d := range r.domains() {
		r.stageDomain(d)
	}
	for _, d := range r.domains() {
		r.stageSecondModels(d)
	}
}

func (r *round) stageDomain(d sardine.FabricDomain) {
	if r.releasing(d) {
		return // its members are planned together once all of them are free
	}
	free := r.stageFullGroup(d, r.freeVMs(d))
	for _, dv := range r.deploymentsIn(d) {
		if r.spareCount(dv, d) > 0 {
			continue
		}
		if len(free) == 0 && r.releaseSmallerSpare(dv, d) {
			return
		}
		free = r.stageSpare(dv, d, free)
	}
	for len(free) > 0 {
		dv := r.nextDeployment(d, len(free))
		if dv == nil {
			return
		}
		var allocated []*vmView
		allocated, free = r.stageFor(dv, free, dv.spec.GroupSize)
		if len(allocated) == 0 {
			return
		}
		if len(allocated) < dv.spec.GroupSize {
			r.joinSpares(dv, d, allocated)
		} else {
			r.countStaged(dv)
		}
	}
}

// releasing reports whether a dissolved group or spare of the domain still has
// live members that have not been released.
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

// stageFullGroup stages the free VMs of a domain for a complete group of the
// deployment with the least coverage, if there are enough, and returns the
// rest. It releases spares of other deployments if needed, since a group serves
// requests and a spare does not.
func (r *round) stageFullGroup(d sardine.FabricDomain, free []*vmView) []*vmView {
	dv := r.leastStaged(anySize)
	if dv == nil {
		return free
	}
	var others []*groupView
	for _, s := range r.spares[d] {
		if r.usableSpare(s) && s.Model != dv.spec.Model && s.members[0].vm.canLoad(dv.spec.Model) {
			others = append(others, s)
		}
	}
	lacking := dv.spec.GroupSize - len(free) - r.spareCount(dv, d)
	if lacking > len(others) {
		return free
	}
	for _, s := range others[:max(lacking, 0)] {
		r.move(s, sardine.GroupFenced, "its VM makes a group of "+string(dv.Service)+" whole")
	}
	_, rest := r.stageFor(dv, free, dv.spec.GroupSize-r.spareCount(dv, d))
	r.countStaged(dv)
	return rest
}

const anySize = math.MaxInt

// leastStaged returns the deployment by demand with the least coverage among those
// with groups of at most a size, nil if there is none. It counts the groups for
// which hosts are planned to load in this round.
func (r *round) leastStaged(size int) *deploymentView {
	return r.least(size, (*deploymentView).stagedCoverage)
}

// leastCovered returns the deployment by demand with the least coverage, nil if
// there is none.
func (r *round) leastCovered() *deploymentView {
	return r.least(anySize, (*deploymentView).coverage)
}

func (r *round) least(size int, coverage func(*deploymentView) float64) *deploymentView {
	var least *deploymentView
	for _, dv := range r.deployments {
		if dv.byDemand() && dv.spec.GroupSize <= size && (least == nil || coverage(dv) < coverage(least)) {
			least = dv
		}
	}
	return least
}

// countStaged counts a group for which hosts are planned to load. Under load every
// domain completes groups of the least covered deployment from their survivors.
func (r *round) countStaged(dv *deploymentView) {
	if !r.p.logView.trafficOpen {
		dv.staged++
	}
}

// releaseSmallerSpare releases a spare of a deployment with smaller groups, so
// that its VM can be a spare for a deployment that has none. A missing member
// idles more VMs in a larger group.
func (r *round) releaseSmallerSpare(dv *deploymentView, d sardine.FabricDomain) bool {
	for _, other := range r.deploymentsIn(d) {
		if other.spec.GroupSize >= dv.spec.GroupSize {
			continue
		}
		for _, s := range r.spares[d] {
			if r.usableSpare(s) && s.Model == other.spec.Model && s.members[0].vm.canLoad(dv.spec.Model) {
				r.move(s, sardine.GroupFenced, "its VM becomes a spare for "+string(dv.Service))
				return true
			}
		}
	}
	return false
}

// stageSpare stages one VM as a spare for a deployment and returns the rest. If
// its host has the weights, the VM joins a spare group: an engine that was a
// member of any group of the model joins the next group much sooner than one
// that first reads the weights from its host.
func (r *round) stageSpare(dv *deploymentView, d sardine.FabricDomain, free []*vmView) []*vmView {
	allocated, rest := r.stageFor(dv, free, 1)
	if len(allocated) > 0 && allocated[0].warm(dv.spec.Model, dv.spec.ModelVersion) {
		r.loadSpare(dv, d, candidate{vm: allocated[0], warm: true})
	}
	return rest
}

// joinSpares makes spares of VMs that have a deployment's model staged on their
// hosts only, so that their engines hold it in memory.
func (r *round) joinSpares(dv *deploymentView, d sardine.FabricDomain, vms []*vmView) {
	for _, v := range vms {
		if v.warm(dv.spec.Model, dv.spec.ModelVersion) && v.status.CurrentOrder.Model == "" {
			r.loadSpare(dv, d, candidate{vm: v, warm: true})
		}
	}
}

// stageSecondModels plans to stage the model of another deployment on the hosts
// of a domain's spares. An engine keeps the weights of its last group in memory,
// so that such a spare can replace a member of either deployment.
func (r *round) stageSecondModels(d sardine.FabricDomain) {
	for _, s := range r.spares[d] {
		if r.usableSpare(s) && s.ready() {
			r.stageSecondModel(d, s.members[0].vm)
		}
	}
}

// stageSecondModel plans the staging for one VM, unless it has the weights of two
// deployments already.
func (r *round) stageSecondModel(d sardine.FabricDomain, v *vmView) {
	if v.record.staging != "" {
		return
	}
	var second *deploymentView
	for _, dv := range r.deploymentsIn(d) {
		if dv.spec.Model == v.status.CurrentOrder.Model || !v.canLoad(dv.spec.Model) {
			continue
		}
		if v.warm(dv.spec.Model, dv.spec.ModelVersion) {
			return
		}
		if second == nil {
			second = dv
		}
	}
	if second != nil {
		r.secondStaging = append(r.secondStaging, stagePlan{vm: v, model: second.spec.Model})
	}
}

// freeVMs returns the free VMs of a domain that are not allocated in this
// round.
func (r *round) freeVMs(d sardine.FabricDomain) []*vmView {
	var free []*vmView
	for _, v := range r.free[d] {
		if !r.allocated[v.target.VM] && !v.target.Leaving {
			free = append(free, v)
		}
	}
	return free
}

// deploymentsIn returns the deployments by demand that have groups in a domain,
// those with larger groups first since a missing member costs them most.
func (r *round) deploymentsIn(d sardine.FabricDomain) []*deploymentView {
	var deployments []*deploymentView
	for _, dv := range r.deployments {
		if dv.byDemand() && slices.ContainsFunc(dv.groups, func(g *groupView) bool { return g.Domain == d }) {
			deployments = append(deployments, dv)
		}
	}
	slices.SortStableFunc(deployments, func(a, b *deploymentView) int { return b.spec.GroupSize - a.spec.GroupSize })
	return deployments
}

// nextDeployment returns the deployment that should get the next group from the
// free VMs of a domain: the least covered one whose group size fits. If none
// fits, it is the one with the largest groups in the domain, or the least
// covered one if there are none.
func (r *round) nextDeployment(d sardine.FabricDomain, free int) *deploymentView {
	if fits := r.leastStaged(free); fits != nil {
		return fits
	}
	if in := r.deploymentsIn(d); len(in) > 0 {
		return in[0]
	}
	return r.leastStaged(anySize)
}

// stageFor allocates up to count VMs for a deployment, preferring those that
// hold its model, plans the staging of the others, and returns the rest.
func (r *round) stageFor(dv *deploymentView, free []*vmView, count int) (allocated, rest []*vmView) {
	model := dv.spec.Model
	var usable, held []*vmView
	for _, v := range free {
		if r.mayStage(v, dv) {
			usable = append(usable, v)
		} else {
			held = append(held, v)
		}
	}
	slices.SortStableFunc(usable, func(a, b *vmView) int { return b.stagingRank(model) - a.stagingRank(model) })
	count = min(count, len(usable))
	for _, v := range usable[:count] {
		if v.canLoad(model) && !v.warm(model, dv.spec.ModelVersion) && v.record.staging != model {
			r.staging = append(r.staging, stagePlan{vm: v, model: model})
		}
	}
	return usable[:count], append(usable[count:], held...)
}

// survivorHoldLoads is how long, in load times, survivors of a group keep the
// weights of the deployment with the least coverage, in case enough other VMs
// arrive to complete a group. Loading the weights again would take as long.
const survivorHoldLoads = 2

// mayStage reports whether a VM may load a deployment's model. The survivors of
// a group of the least covered deployment keep their weights for a while, since
// the lost members may only be unreachable, or may return soon. This does not
// apply to former spares.
func (r *round) mayStage(v *vmView, dv *deploymentView) bool {
	need := r.leastCovered()
	if need == nil || need == dv || !v.record.survivor || !v.warm(need.spec.Model, need.spec.ModelVersion) {
		return true
	}
	return v.record.freeSince+survivorHoldLoads*r.p.limits.LoadTime <= r.now
}

// stagingRank returns how near a VM is to holding a model: 3 if it holds the
// model, 2 if it is staging it, 1 if it holds nothing that another deployment
// could use.
func (v *vmView) stagingRank(model sardine.ModelName) int {
	switch {
	case slices.Contains(v.status.Staged, model):
		return 3
	case v.record.staging == model:
		return 2
	case len(v.status.Staged) == 0 && v.record.staging == "":
		return 1
	default:
		return 0
	}
}

// stagingInProgress counts the hosts that are staging a model, and drops
// stagings that are complete or timed out.
func (r *round) stagingInProgress() int {
	count := 0
	for _, vm := range r.sorted {
		v := r.vms[vm]
		n := v.record
		if n.staging == "" {
			continue
		}
		late := n.stagingAt+stagingTimeoutLoads*r.p.limits.LoadTime <= r.now
		if !v.alive || late || slices.Contains(v.status.Staged, n.staging) {
			n.staging = ""
			continue
		}
		count++
	}
	return count
}

// sendStaging sends the planned staging orders that fit the weight store's
// budget, and returns the remaining budget.
func (r *round) sendStaging(planned []stagePlan, budget int) int {
	for _, s := range planned {
		if budget <= 0 {
			return 0
		}
		if s.vm.record.staging != "" || !r.mayOrder(s.vm) || r.allocated[s.vm.target.VM] {
			continue
		}
		budget--
		r.recordLoadStart()
		s.vm.record.staging = s.model
		s.vm.record.stagingAt = r.now
		r.out.Orders = append(r.out.Orders, SendOrder{
			VM:          s.vm.target.VM,
			Incarnation: s.vm.target.Incarnation,
			Address:     s.vm.target.Address,
			Order:       sardine.Order{VM: s.vm.target.VM, Model: s.model, Stage: true},
		})
	}
	return budget
}
