package fleet

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// adoptObserved restores, after an election, the targets of the log that have not announced
// themselves to the new leader and whose answers entry nodes observe. The answers of a group
// show that each member carries out the group's order.
func (l *Leader) adoptObserved(now sardine.Millis, m *state.Machine) {
	for _, known := range l.targetsInLog(m) {
		ref := Ref{VM: known.VM, Incarnation: known.Incarnation}
		if l.targets[known.VM] != nil || !l.observedAlive(now, known.Kind, ref) {
			continue
		}
		l.targets[known.VM] = &targetView{
			latest:      announcementOf(known, l.servingOrder(m, known.VM)),
			at:          l.leadSince,
			confirmedBy: make(map[sardine.NodeID]bool, 1),
		}
		l.sorted = nil
	}
}

// servingOrder returns the order of a member of a serving group, or the zero order.
func (l *Leader) servingOrder(m *state.Machine, vm sardine.VMID) sardine.CurrentOrder {
	key, serves := l.servingGroups[vm]
	if !serves {
		return sardine.CurrentOrder{}
	}
	g, _ := m.Group(key.group)
	order := sardine.CurrentOrder{Group: g.ID, Epoch: g.Epoch, Model: g.Model, Version: g.Version, State: sardine.MemberReady}
	for _, member := range g.Members {
		if member.VM == vm {
			order.Rank = member.Rank
		}
	}
	if order.Rank == 0 {
		order.State = sardine.MemberOpen
	}
	return order
}

// announcementOf returns what the log knows of a target as an announcement without a number,
// which any later one replaces.
func announcementOf(t state.Target, order sardine.CurrentOrder) sardine.Announcement {
	return sardine.Announcement{
		VM:           t.VM,
		Incarnation:  t.Incarnation,
		Kind:         t.Kind,
		Address:      t.Address,
		DataCentre:   t.DataCentre,
		Domain:       t.Domain,
		Accelerators: t.Accelerators,
		Service:      t.Service,
		Loadable:     t.Loadable,
		ChecksEpoch:  t.ChecksEpoch,
		Leaving:      t.Leaving,
		CurrentOrder: order,
	}
}
