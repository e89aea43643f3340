package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// isFree reports whether a VM may join a group: it has no owner, its engine
// holds no order, and no older order can still reach it.
func (r *round) isFree(v *vmView) bool {
	if !v.alive || v.owned || v.target.Leaving || r.allocated[v.target.VM] {
		return false
	}
	if v.record.excludedUntil > r.now || r.staleOrderPossible(v) {
		return false
	}
	h := v.status.CurrentOrder
	return h.Group == "" || v.record.releasedExactly(v.target.Incarnation, h.Group, h.Epoch)
}

// staleOrderPossible reports whether an unconfirmed order may still reach an
// engine that would execute it. Engines that check epochs reject such an order.
func (r *round) staleOrderPossible(v *vmView) bool {
	return !v.target.ChecksEpoch && v.record.staleOrderUntil > r.now
}

// freeMembers releases the VMs that their group no longer needs, and lists the
// free ones.
func (r *round) freeMembers() {
	for _, vm := range r.sorted {
		v := r.vms[vm]
		if r.isFree(v) {
			r.free[v.target.Domain] = append(r.free[v.target.Domain], v)
		}
		v.record.recordFree(r.now, r.isFree(v))
		if v.owned && !v.member {
			r.freeMember(v, r.byID[v.owner.Group])
		}
	}
	r.releaseGroups()
}

// freeMember removes a VM's owner once the VM's engine is fenced.
func (r *round) freeMember(v *vmView, g *groupView) {
	epoch := v.owner.Epoch
	if g != nil {
		epoch = max(epoch, g.Epoch)
	}
	if r.allocated[v.owner.VM] {
		return
	}
	if r.fenced(v, epoch) || r.absenceExpired(v) || r.p.defect == DefectNoFencing {
		v.record.survivor = g != nil && !g.spare
		r.propose(nil, []sardine.VMID{v.owner.VM}, state.FreeMember{VM: v.owner.VM, Group: v.owner.Group, Epoch: epoch})
	}
}

// fenced reports whether a VM's engine confirmed the release, and no older
// order can undo it.
func (r *round) fenced(v *vmView, epoch sardine.Epoch) bool {
	if h := v.status.CurrentOrder; h.Group == v.owner.Group && h.Epoch < epoch {
		return false // an earlier order of the group is still in force there
	}
	return v.alive && !r.staleOrderPossible(v) && v.record.released(v.target.Incarnation, v.owner.Group, epoch)
}

// absenceExpired reports whether a VM has been absent for so long that its
// group releases it. The VM can't join another group before it announces that
// it holds nothing.
func (r *round) absenceExpired(v *vmView) bool {
	return !v.alive && v.record.absentSince != 0 && v.record.absentSince+r.p.limits.MaxAbsence <= r.now
}

// releaseGroups moves dissolved groups that own no VM to the released state.
func (r *round) releaseGroups() {
	owning := make(map[sardine.GroupID]bool)
	for _, v := range r.vms {
		if v.owned {
			owning[v.owner.Group] = true
		}
	}
	for _, g := range r.groups {
		if g.State == sardine.GroupFenced && !owning[g.ID] && !g.busy {
			r.move(g, sardine.GroupReleased, "every member is free")
		}
	}
}
