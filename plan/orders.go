package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// idleInterval is the time between rounds while every group serves and nothing
// changes.
const idleInterval = 30 * sardine.Second

// sendOrders sends the orders that members, former members and VMs with unknown
// orders need. Loads wait for the weight store, the most valuable groups first.
func (r *round) sendOrders() {
	budget := r.loadBudget()
	for _, g := range r.groupsByLoadPriority() {
		if g.busy || g.State == sardine.GroupFenced || g.record.drain != notDraining {
			continue
		}
		if len(g.missing()) == 0 {
			budget = r.orderMembers(g, budget)
		}
	}
	budget = r.sendStaging(r.staging, budget)
	r.sendStaging(r.secondStaging, budget-r.p.limits.LoadsAtOnce/2)
	for _, vm := range r.sorted {
		r.orderRelease(r.vms[vm])
	}
	if r.active() {
		return
	}
	r.out.Wake = r.now + idleInterval
}

// loadBudget returns how many loads may begin now. Before callers' requests begin
// the number is not limited, as loads delay no request.
func (r *round) loadBudget() int {
	inProgress := r.loadsInProgress()
	if r.loadsUnmetered() {
		return len(r.vms)
	}
	budget := max(r.p.limits.LoadsAtOnce, 1) - inProgress
	return min(budget, r.p.loadStarts.budget(r.now, r.p.limits.StartWindow))
}

// active reports whether an operation is in progress that needs regular rounds.
func (r *round) active() bool {
	if !r.live.Settled() || r.p.lastArrivalAt+joinQuietPeriod > r.now {
		return true // announcements may still arrive
	}
	if len(r.p.pending) > 0 || len(r.out.Orders) > 0 || len(r.extraSpares) > 0 {
		return true
	}
	for _, g := range r.groups {
		if g.slow {
			return true
		}
		if !g.spare && g.State != sardine.GroupServing || g.spare && !g.ready() {
			return true
		}
	}
	return false
}

// loadsInProgress counts the members that are loading or were ordered to load.
func (r *round) loadsInProgress() int {
	count := r.stagingInProgress()
	for _, g := range r.groups {
		for _, m := range g.members {
			ordered := m.vm.record.outstanding || m.vm.record.joined(m.Incarnation, g.ID, g.Epoch)
			cold := m.vm.alive && !m.vm.warm(g.Model, g.Version)
			if m.condition == memberLoading || m.condition == memberWithoutOrder && ordered && cold {
				count++
			}
		}
	}
	return count
}

// orderMembers sends a group's order to the members that do not hold it, and
// returns the remaining load budget.
func (r *round) orderMembers(g *groupView, budget int) int {
	r.orderOpen(g)
	for _, m := range g.members {
		if m.condition != memberWithoutOrder || !r.mayOrder(m.vm) {
			continue
		}
		if m.vm.record.joined(m.Incarnation, g.ID, g.Epoch) && m.vm.record.confirmedAt+r.p.limits.Settle > r.now {
			continue
		}
		cold := !m.vm.warm(g.Model, g.Version)
		if cold && budget <= 0 {
			r.recordWait(g, "the weight store is busy")
			return 0
		}
		if cold {
			budget--
			r.recordLoadStart()
		}
		r.send(m.vm, sardine.Order{
			Group:   g.ID,
			Epoch:   g.Epoch,
			Rank:    m.Rank,
			Size:    len(g.members),
			Model:   g.Model,
			Version: g.Version,
			Members: vmsOf(g.Group),
		})
	}
	return budget
}

func vmsOf(g sardine.Group) []sardine.VMID {
	vms := make([]sardine.VMID, 0, len(g.Members))
	for _, m := range g.Members {
		vms = append(vms, m.VM)
	}
	return vms
}

// orderOpen orders the rank 0 of a group whose members are all ready to accept
// requests. It repeats the order for a serving group whose rank 0 has closed.
func (r *round) orderOpen(g *groupView) {
	if g.spare || !g.opens() || g.open() || !g.ready() {
		return
	}
	head := g.members[0]
	n := head.vm.record
	opened := n.confirmed && n.order.Open && n.incarnation == head.Incarnation && n.order.Group == g.ID && n.order.Epoch == g.Epoch
	if !r.mayOrder(head.vm) || opened && n.confirmedAt+r.p.limits.Settle > r.now {
		return
	}
	r.send(head.vm, sardine.Order{Group: g.ID, Epoch: g.Epoch, Size: len(g.members), Model: g.Model, Version: g.Version, Open: true})
}

func (r *round) mayOrder(v *vmView) bool {
	return v.alive && !v.record.outstanding && v.record.retryAt <= r.now
}

// orderRelease orders an engine to release a group that it is not, or no
// longer, a member of. This also corrects a late order of an earlier leader.
func (r *round) orderRelease(v *vmView) {
	if !r.mayOrder(v) || r.allocated[v.target.VM] {
		return
	}
	group, epoch := r.staleHolding(v)
	if group == "" || v.record.released(v.target.Incarnation, group, epoch) && v.record.confirmedAt+r.p.limits.Settle > r.now {
		return
	}
	r.send(v, sardine.Order{Group: group, Epoch: epoch, Release: true})
}

// staleHolding returns the group that a VM's engine must release, and the epoch
// up to which. A current member of a group gets that group's order instead.
func (r *round) staleHolding(v *vmView) (group sardine.GroupID, epoch sardine.Epoch) {
	held := v.status.CurrentOrder
	if !v.owned {
		return held.Group, held.Epoch
	}
	if v.member {
		return "", 0
	}
	epoch = v.owner.Epoch
	if g := r.byID[v.owner.Group]; g != nil {
		epoch = max(epoch, g.Epoch)
	}
	if held.Group == v.owner.Group && held.Epoch > 0 {
		epoch = held.Epoch // release what it holds first, which may be an earlier order than the last one
	}
	return v.owner.Group, epoch
}

func (r *round) send(v *vmView, o sardine.Order) {
	o.VM = v.target.VM
	v.record.sent(r.now, v.target.Incarnation, o)
	r.out.Orders = append(r.out.Orders, SendOrder{
		VM:          v.target.VM,
		Incarnation: v.target.Incarnation,
		Address:     v.target.Address,
		Order:       o,
	})
}
