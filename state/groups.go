package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// assignGroup forms a group or re-forms it under a new epoch. Nothing else assigns
// an owner to a VM, so a VM can't have two.
func (m *Machine) assignGroup(c AssignGroup) Result {
	g := c.Group
	if err := m.checkMembers(g); err != nil {
		return Result{Err: err}
	}
	g.Epoch = sardine.Epoch(m.index)
	g.State = sardine.GroupAssigned
	for _, member := range g.Members {
		m.owners[member.VM] = Owner{VM: member.VM, Group: g.ID, Epoch: g.Epoch}
	}
	m.groups[g.ID] = g
	return Result{Epoch: g.Epoch}
}

func (m *Machine) checkMembers(g sardine.Group) error {
	if len(g.Members) == 0 {
		return codes.New(codes.BadRequest, "group %s has no members", g.ID)
	}
	seen := make(map[sardine.VMID]bool, len(g.Members))
	for _, member := range g.Members {
		if seen[member.VM] {
			return codes.New(codes.MemberBusy, "group %s names VM %s twice", g.ID, member.VM)
		}
		seen[member.VM] = true
		if owner, owned := m.owners[member.VM]; owned && owner.Group != g.ID {
			return codes.New(codes.MemberBusy, "VM %s belongs to group %s", member.VM, owner.Group)
		}
		t, known := m.targets[member.VM]
		if !known || t.Incarnation != member.Incarnation || t.Kind != sardine.KindEngine {
			return codes.New(codes.UnknownMember, "VM %s incarnation %d is not a known engine", member.VM, member.Incarnation)
		}
	}
	return nil
}

func (m *Machine) moveGroup(c MoveGroup) Result {
	g, known := m.groups[c.Group]
	if !known || g.Epoch != c.Epoch {
		return Result{Err: codes.New(codes.EpochRefused, "group %s is not at epoch %d", c.Group, c.Epoch)}
	}
	if !canTransition(g.State, c.State) {
		return Result{Err: codes.New(codes.BadRequest, "group %s can't move from %s to %s", c.Group, g.State, c.State)}
	}
	if c.State == sardine.GroupServing {
		if err := m.checkMembersPresent(g); err != nil {
			return Result{Err: err}
		}
	}
	g.State = c.State
	m.groups[g.ID] = g
	if c.State == sardine.GroupReleased {
		return m.releaseGroup(g)
	}
	return Result{Epoch: g.Epoch}
}

// checkMembersPresent rejects a group with a member that, according to the log, is
// gone or has restarted.
func (m *Machine) checkMembersPresent(g sardine.Group) error {
	for _, member := range g.Members {
		t, known := m.targets[member.VM]
		if !known || t.Incarnation != member.Incarnation {
			return codes.New(codes.UnknownMember, "group %s lacks VM %s incarnation %d", g.ID, member.VM, member.Incarnation)
		}
	}
	return nil
}

// releaseGroup removes a group that owns no VM any more.
func (m *Machine) releaseGroup(g sardine.Group) Result {
	for _, o := range m.owners {
		if o.Group == g.ID {
			m.groups[g.ID] = withState(g, sardine.GroupFenced)
			return Result{Err: codes.New(codes.MemberBusy, "group %s still owns VM %s", g.ID, o.VM)}
		}
	}
	delete(m.groups, g.ID)
	return Result{Epoch: g.Epoch}
}

// degradeGroupOf marks the group of a VM degraded when the VM's incarnation is
// gone. Because the same log entry does both, no node ever sees the group serve
// without that member.
func (m *Machine) degradeGroupOf(vm sardine.VMID) {
	o, owned := m.owners[vm]
	if !owned {
		return
	}
	g, known := m.groups[o.Group]
	if known && hasMember(g, vm) && canTransition(g.State, sardine.GroupDegraded) {
		m.groups[g.ID] = withState(g, sardine.GroupDegraded)
	}
}

func withState(g sardine.Group, s sardine.GroupState) sardine.Group {
	g.State = s
	return g
}

func (m *Machine) freeMember(c FreeMember) Result {
	o, owned := m.owners[c.VM]
	if !owned || o.Group != c.Group {
		return Result{Err: codes.New(codes.UnknownMember, "VM %s does not belong to group %s", c.VM, c.Group)}
	}
	if c.Epoch < o.Epoch {
		return Result{Err: codes.New(codes.EpochRefused, "VM %s holds epoch %d, fenced up to %d", c.VM, o.Epoch, c.Epoch)}
	}
	if g, known := m.groups[c.Group]; known && hasMember(g, c.VM) && g.State != sardine.GroupFenced {
		return Result{Err: codes.New(codes.MemberBusy, "VM %s is a member of group %s", c.VM, c.Group)}
	}
	delete(m.owners, c.VM)
	return Result{}
}

func hasMember(g sardine.Group, vm sardine.VMID) bool {
	for _, member := range g.Members {
		if member.VM == vm {
			return true
		}
	}
	return false
}

// transitions lists the states that may follow each state of a group within one
// epoch. AssignGroup starts a new epoch from any state.
var transitions = map[sardine.GroupState][]sardine.GroupState{
	sardine.GroupAssigned: {sardine.GroupLoading, sardine.GroupServing, sardine.GroupDegraded, sardine.GroupFenced},
	sardine.GroupLoading:  {sardine.GroupServing, sardine.GroupDegraded, sardine.GroupFenced},
	sardine.GroupServing:  {sardine.GroupDegraded, sardine.GroupFenced},
	sardine.GroupDegraded: {sardine.GroupServing, sardine.GroupFenced},
	sardine.GroupFenced:   {sardine.GroupReleased},
}

func canTransition(from, to sardine.GroupState) bool {
	for _, s := range transitions[from] {
		if s == to {
			return true
		}
	}
	return false
}

// Transitions returns the states to which a group in state s may change within one
// epoch.
func Transitions(s sardine.GroupState) []sardine.GroupState {
	return append([]sardine.GroupState(nil), transitions[s]...)
}
