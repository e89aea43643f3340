package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// idleWake is how long a planner sleeps while all is well and nothing is new.
const idleWake = 30 * sardine.Second

// sendOrders sends the orders that members, dropped members and strays lack.
// Loads wait for the weight store, the most valuable groups first.
func (r *round) sendOrders() {
	room := r.loadRoom()
	for _, g := range r.byUrgency() {
		if g.busy || g.State == sardine.GroupFenced || g.note.drain != notDraining {
			continue
		}
		if len(g.missing()) == 0 {
			room = r.orderMembers(g, room)
		}
	}
	r.sendStaging(room)
	for _, vm := range r.sorted {
		r.orderRelease(r.vms[vm])
	}
	if r.active() {
		return
	}
	r.out.Wake = r.now + idleWake
}

// loadRoom returns how many loads may begin now. Before callers' requests begin
// nobody is delayed, however many there are.
func (r *round) loadRoom() int {
	if r.cheap() {
		return len(r.vms)
	}
	room := max(r.p.limits.LoadsAtOnce, 1) - r.loadsUnderWay()
	return min(room, r.p.starts.room(r.now, r.p.limits.StartWindow))
}

// active reports whether something is under way that a round must follow.
func (r *round) active() bool {
	if !r.live.Settled() || r.p.newestAt+joinPause > r.now {
		return true // what is heard, or not heard, until then counts
	}
	if len(r.p.pending) > 0 || len(r.out.Orders) > 0 || len(r.wants) > 0 {
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

// loadsUnderWay counts the members that load or were told to.
func (r *round) loadsUnderWay() int {
	count := r.stagingUnderWay()
	for _, g := range r.groups {
		for _, m := range g.members {
			told := m.vm.note.underWay || m.vm.note.joined(m.Incarnation, g.ID, g.Epoch)
			cold := m.vm.alive && !m.vm.warm(g.Model, g.Version)
			if m.condition == memberLoading || m.condition == memberElsewhere && told && cold {
				count++
			}
		}
	}
	return count
}

// orderMembers sends a group's orders to the members that do not hold it, and
// returns the room that is left at the weight store.
func (r *round) orderMembers(g *groupView, room int) int {
	r.orderOpen(g)
	for _, m := range g.members {
		if m.condition != memberElsewhere || !r.mayOrder(m.vm) {
			continue
		}
		if m.vm.note.joined(m.Incarnation, g.ID, g.Epoch) && m.vm.note.confirmedAt+r.p.limits.Settle > r.now {
			continue
		}
		cold := !m.vm.warm(g.Model, g.Version)
		if cold && room <= 0 {
			r.wait(g, "the weight store is busy")
			return 0
		}
		if cold {
			room--
			r.noteLoad()
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
	return room
}

func vmsOf(g sardine.Group) []sardine.VMID {
	vms := make([]sardine.VMID, 0, len(g.Members))
	for _, m := range g.Members {
		vms = append(vms, m.VM)
	}
	return vms
}

// orderOpen tells the rank 0 of a group whose members are all ready to take
// requests. A group that already serves is told again if its rank 0 closed.
func (r *round) orderOpen(g *groupView) {
	if g.spare || !g.opens() || g.open() || !g.ready() {
		return
	}
	head := g.members[0]
	n := head.vm.note
	told := n.confirmed && n.order.Open && n.incarnation == head.Incarnation && n.order.Group == g.ID && n.order.Epoch == g.Epoch
	if !r.mayOrder(head.vm) || told && n.confirmedAt+r.p.limits.Settle > r.now {
		return
	}
	r.send(head.vm, sardine.Order{Group: g.ID, Epoch: g.Epoch, Size: len(g.members), Model: g.Model, Version: g.Version, Open: true})
}

func (r *round) mayOrder(v *vmView) bool {
	return v.alive && !v.note.underWay && v.note.retryAt <= r.now
}

// orderRelease tells an engine to drop a group that it is not, or no longer, a
// member of. A stray order of an earlier leader is corrected this way too.
func (r *round) orderRelease(v *vmView) {
	if !r.mayOrder(v) || r.taken[v.target.VM] {
		return
	}
	group, epoch := r.unwanted(v)
	if group == "" || v.note.released(v.target.Incarnation, group, epoch) && v.note.confirmedAt+r.p.limits.Settle > r.now {
		return
	}
	r.send(v, sardine.Order{Group: group, Epoch: epoch, Release: true})
}

// unwanted returns the group that a VM's engine must drop, and the epoch up to
// which. A member of a group gets that group's order instead.
func (r *round) unwanted(v *vmView) (group sardine.GroupID, epoch sardine.Epoch) {
	held := v.status.Holding
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
		epoch = held.Epoch // first what it holds, which may be an earlier order than the last one
	}
	return v.owner.Group, epoch
}

func (r *round) send(v *vmView, o sardine.Order) {
	o.VM = v.target.VM
	v.note.sent(r.now, v.target.Incarnation, o)
	r.out.Orders = append(r.out.Orders, SendOrder{
		VM:          v.target.VM,
		Incarnation: v.target.Incarnation,
		Address:     v.target.Address,
		Order:       o,
	})
}
