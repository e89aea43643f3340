package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// isFree reports whether a VM may join a group: nobody owns it, its engine says
// that it holds nothing, and no older order can reach it any more.
func (r *round) isFree(v *vmView) bool {
	if !v.alive || v.owned || v.target.Leaving || r.taken[v.target.VM] {
		return false
	}
	if v.note.barredUntil > r.now || r.unsure(v) {
		return false
	}
	h := v.status.Holding
	return h.Group == "" || v.note.releasedExactly(v.target.Incarnation, h.Group, h.Epoch)
}

// unsure reports whether an order that was never confirmed may still reach an
// engine that would take it. Engines that check epochs refuse it.
func (r *round) unsure(v *vmView) bool {
	return !v.target.ChecksEpoch && v.note.unsureUntil > r.now
}

// freeMembers releases the VMs that their group no longer needs, and lists the
// free ones.
func (r *round) freeMembers() {
	for _, vm := range r.sorted {
		v := r.vms[vm]
		if r.isFree(v) {
			r.free[v.target.Domain] = append(r.free[v.target.Domain], v)
		}
		v.note.noteFree(r.now, r.isFree(v))
		if v.owned && !v.member {
			r.freeMember(v, r.byID[v.owner.Group])
		}
	}
	r.releaseGroups()
}

// freeMember gives a VM up once its engine is fenced.
func (r *round) freeMember(v *vmView, g *groupView) {
	epoch := v.owner.Epoch
	if g != nil {
		epoch = max(epoch, g.Epoch)
	}
	if r.taken[v.owner.VM] {
		return
	}
	if r.fenced(v, epoch) || r.forgotten(v) || r.p.defect == DefectNoFencing {
		v.note.survivor = g != nil && !g.spare
		r.propose(nil, []sardine.VMID{v.owner.VM}, state.FreeMember{VM: v.owner.VM, Group: v.owner.Group, Epoch: epoch})
	}
}

// fenced reports whether a VM's engine confirmed the release, and no older
// order can undo it.
func (r *round) fenced(v *vmView, epoch sardine.Epoch) bool {
	if h := v.status.Holding; h.Group == v.owner.Group && h.Epoch < epoch {
		return false // an earlier order of the group is still in force there
	}
	return v.alive && !r.unsure(v) && v.note.released(v.target.Incarnation, v.owner.Group, epoch)
}

// forgotten reports whether a VM has been absent for so long that its group
// gives it up. It can't join another before it announces that it holds nothing.
func (r *round) forgotten(v *vmView) bool {
	return !v.alive && v.note.goneSince != 0 && v.note.goneSince+r.p.limits.Forget <= r.now
}

// releaseGroups forgets the dissolved groups that own no VM any more.
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
