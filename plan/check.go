package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// check verifies the invariants of the replicated state. A violation stops
// planning.
func (r *round) check() error {
	member := make(map[sardine.VMID]sardine.GroupID)
	for _, g := range r.groups {
		if g.State == sardine.GroupFenced || g.State == sardine.GroupReleased {
			continue
		}
		for _, m := range g.members {
			if other, twice := member[m.VM]; twice {
				return codes.New(codes.InvariantBroken, "VM %s is a member of groups %s and %s", m.VM, other, g.ID)
			}
			member[m.VM] = g.ID
			if !m.vm.owned || m.vm.owner.Group != g.ID {
				return codes.New(codes.InvariantBroken, "group %s does not own its member %s", g.ID, m.VM)
			}
		}
		if err := r.checkServing(g); err != nil {
			return err
		}
	}
	return nil
}

func (r *round) checkServing(g *groupView) error {
	if g.State != sardine.GroupServing {
		return nil
	}
	for _, m := range g.members {
		if !m.vm.registered || m.vm.target.Incarnation != m.Incarnation {
			return codes.New(codes.InvariantBroken, "group %s serves without VM %s incarnation %d", g.ID, m.VM, m.Incarnation)
		}
	}
	return nil
}

// verify checks that the round's own commands keep the invariants. It uses only
// the log and the announcements, not the round's intermediate results.
func (r *round) verify() error {
	for _, c := range r.out.Commands {
		var err error
		switch c := c.(type) {
		case state.MoveGroup:
			err = r.verifyMove(c)
		case state.FreeMember:
			err = r.verifyFree(c)
		case state.AssignGroup:
			err = r.verifyAssign(c)
		}
		if err != nil {
			return err
		}
	}
	return r.verifyServing()
}

// verifyMove checks that a group only starts to serve when every member has
// announced that it is ready under the group's epoch.
func (r *round) verifyMove(c state.MoveGroup) error {
	g := r.byID[c.Group]
	if c.State != sardine.GroupServing || g == nil {
		return nil
	}
	for _, m := range g.Members {
		s, alive := r.live.Live(m.VM)
		h := s.CurrentOrder
		if !alive || s.Incarnation != m.Incarnation || h.Group != c.Group || h.Epoch != c.Epoch || !h.State.Ready() {
			return codes.New(codes.InvariantBroken, "group %s epoch %d was to serve while VM %s is not ready", c.Group, c.Epoch, m.VM)
		}
	}
	return nil
}

// verifyFree checks that a VM is only freed after its engine confirmed the
// release, as a spare that serves no requests, or after a long absence.
func (r *round) verifyFree(c state.FreeMember) error {
	v := r.vms[c.VM]
	g := r.byID[c.Group]
	spare := g != nil && g.Service == ""
	confirmed := v.alive && v.record.released(v.target.Incarnation, c.Group, v.owner.Epoch)
	if spare || confirmed || r.absenceExpired(v) {
		return nil
	}
	return codes.New(codes.InvariantBroken, "VM %s was to leave group %s without a confirmed release", c.VM, c.Group)
}

// verifyAssign checks that a group is only assigned its own VMs, spares and VMs
// without an owner.
func (r *round) verifyAssign(c state.AssignGroup) error {
	for _, m := range c.Group.Members {
		v := r.vms[m.VM]
		if !v.owned || v.owner.Group == c.Group.ID {
			continue
		}
		if g := r.byID[v.owner.Group]; g == nil || g.Service != "" {
			return codes.New(codes.InvariantBroken, "group %s was to take VM %s of group %s", c.Group.ID, m.VM, v.owner.Group)
		}
	}
	return nil
}

// verifyServing checks that no group keeps serving with a member that is known
// not to be ready.
func (r *round) verifyServing() error {
	for _, g := range r.groups {
		if g.State != sardine.GroupServing || g.busy {
			continue
		}
		for _, m := range g.members {
			if m.condition != memberReady && m.condition != memberUnseen {
				return codes.New(codes.InvariantBroken, "group %s was left serving while VM %s is %s", g.ID, m.VM, m.condition)
			}
		}
	}
	return nil
}
