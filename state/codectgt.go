package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// targetToWire encodes the commands on targets and groups. It reports whether c is
// one of them.
func targetToWire(w *wire.Command, c Command) bool {
	switch c := c.(type) {
	case TargetUp:
		w.Body = &wire.Command_TargetUp{TargetUp: TargetToWire(c.Target)}
	case TargetDown:
		w.Body = &wire.Command_TargetDown{TargetDown: targetRef(c.VM, c.Incarnation)}
	case TargetLeaving:
		w.Body = &wire.Command_TargetLeaving{TargetLeaving: targetRef(c.VM, c.Incarnation)}
	case AssignGroup:
		w.Body = &wire.Command_AssignGroup{AssignGroup: &wire.AssignGroup{Group: groupToWire(c.Group)}}
	case MoveGroup:
		w.Body = &wire.Command_MoveGroup{MoveGroup: &wire.MoveGroup{
			Group: string(c.Group),
			Epoch: uint64(c.Epoch),
			State: uint32(c.State),
		}}
	case FreeMember:
		w.Body = &wire.Command_FreeMember{FreeMember: &wire.FreeMember{
			Vm:    string(c.VM),
			Group: string(c.Group),
			Epoch: uint64(c.Epoch),
		}}
	default:
		return false
	}
	return true
}

func targetFromWire(w *wire.Command) Command {
	switch b := w.GetBody().(type) {
	case *wire.Command_TargetUp:
		return TargetUp{Target: TargetFromWire(b.TargetUp)}
	case *wire.Command_TargetDown:
		return TargetDown{VM: sardine.VMID(b.TargetDown.GetVm()), Incarnation: sardine.Incarnation(b.TargetDown.GetIncarnation())}
	case *wire.Command_TargetLeaving:
		return TargetLeaving{VM: sardine.VMID(b.TargetLeaving.GetVm()), Incarnation: sardine.Incarnation(b.TargetLeaving.GetIncarnation())}
	case *wire.Command_AssignGroup:
		return AssignGroup{Group: groupFromWire(b.AssignGroup.GetGroup())}
	case *wire.Command_MoveGroup:
		return MoveGroup{
			Group: sardine.GroupID(b.MoveGroup.GetGroup()),
			Epoch: sardine.Epoch(b.MoveGroup.GetEpoch()),
			State: sardine.GroupState(b.MoveGroup.GetState()),
		}
	case *wire.Command_FreeMember:
		return FreeMember{
			VM:    sardine.VMID(b.FreeMember.GetVm()),
			Group: sardine.GroupID(b.FreeMember.GetGroup()),
			Epoch: sardine.Epoch(b.FreeMember.GetEpoch()),
		}
	default:
		return nil
	}
}

func targetRef(vm sardine.VMID, i sardine.Incarnation) *wire.TargetRef {
	return &wire.TargetRef{Vm: string(vm), Incarnation: uint64(i)}
}

// TargetToWire converts a target's record to its message.
func TargetToWire(t Target) *wire.Target {
	w := &wire.Target{
		Vm:           string(t.VM),
		Incarnation:  uint64(t.Incarnation),
		Kind:         uint32(t.Kind),
		Address:      t.Address,
		DataCentre:   string(t.DataCentre),
		Domain:       string(t.Domain),
		Accelerators: uint32(t.Accelerators),
		Service:      string(t.Service),
		ChecksEpoch:  t.ChecksEpoch,
		Leaving:      t.Leaving,
	}
	for _, m := range t.Loadable {
		w.Loadable = append(w.Loadable, string(m))
	}
	return w
}

// TargetFromWire is the inverse of TargetToWire.
func TargetFromWire(w *wire.Target) Target {
	t := Target{
		VM:           sardine.VMID(w.GetVm()),
		Incarnation:  sardine.Incarnation(w.GetIncarnation()),
		Kind:         sardine.TargetKind(w.GetKind()),
		Address:      w.GetAddress(),
		DataCentre:   sardine.DataCentre(w.GetDataCentre()),
		Domain:       sardine.FabricDomain(w.GetDomain()),
		Accelerators: int(w.GetAccelerators()),
		Service:      sardine.ServiceName(w.GetService()),
		ChecksEpoch:  w.GetChecksEpoch(),
		Leaving:      w.GetLeaving(),
	}
	for _, m := range w.GetLoadable() {
		t.Loadable = append(t.Loadable, sardine.ModelName(m))
	}
	return t
}

func groupToWire(g sardine.Group) *wire.Group {
	w := &wire.Group{
		Id:      string(g.ID),
		Epoch:   uint64(g.Epoch),
		Team:    string(g.Team),
		Service: string(g.Service),
		Model:   string(g.Model),
		Version: g.Version,
		Domain:  string(g.Domain),
		State:   uint32(g.State),
	}
	for _, m := range g.Members {
		w.Members = append(w.Members, &wire.Member{
			Vm:          string(m.VM),
			Incarnation: uint64(m.Incarnation),
			Rank:        uint32(m.Rank),
			Address:     m.Address,
		})
	}
	return w
}

func groupFromWire(w *wire.Group) sardine.Group {
	g := sardine.Group{
		ID:      sardine.GroupID(w.GetId()),
		Epoch:   sardine.Epoch(w.GetEpoch()),
		Team:    sardine.Team(w.GetTeam()),
		Service: sardine.ServiceName(w.GetService()),
		Model:   sardine.ModelName(w.GetModel()),
		Version: w.GetVersion(),
		Domain:  sardine.FabricDomain(w.GetDomain()),
		State:   sardine.GroupState(w.GetState()),
	}
	for _, m := range w.GetMembers() {
		g.Members = append(g.Members, sardine.Member{
			VM:          sardine.VMID(m.GetVm()),
			Incarnation: sardine.Incarnation(m.GetIncarnation()),
			Rank:        int(m.GetRank()),
			Address:     m.GetAddress(),
		})
	}
	return g
}
