package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// pick is a VM for one place in a group.
type pick struct {
	vm    *vmView
	spare *groupView // the spare group that holds it, or nil
	warm  bool       // has the weights
}

// freeIn returns the free VMs of a domain that nobody has taken in this round
// and that can load a model, warm ones first.
func (r *round) freeIn(d sardine.FabricDomain, model sardine.ModelName, version string) []pick {
	var warm, cold []pick
	for _, v := range r.free[d] {
		switch {
		case r.taken[v.target.VM] || !v.canLoad(model):
		case v.warm(model, version):
			warm = append(warm, pick{vm: v, warm: true})
		default:
			cold = append(cold, pick{vm: v})
		}
	}
	return append(warm, cold...)
}

// sparesIn returns the loaded spares of a domain for a model's version.
func (r *round) sparesIn(d sardine.FabricDomain, team sardine.Team, model sardine.ModelName, version string) []pick {
	var all []pick
	for _, g := range r.spares[d] {
		if r.usableSpare(g) && g.Team == team && g.Model == model && g.Version == version && g.ready() {
			all = append(all, pick{vm: g.members[0].vm, spare: g, warm: true})
		}
	}
	return all
}

func (r *round) usableSpare(g *groupView) bool {
	m := g.members[0]
	return !g.busy && m.vm.alive && !m.condition.missing() && !r.taken[m.VM] && !r.unsure(m.vm)
}

// returned returns the missing members that are back under a new incarnation or
// may try again.
func (r *round) returned(g *groupView, missing []memberView) []pick {
	var all []pick
	for _, m := range missing {
		back := m.condition == memberRestarted || m.condition == memberFailed
		if back && m.vm.alive && !m.vm.target.Leaving && m.vm.note.barredUntil <= r.now && !r.unsure(m.vm) {
			all = append(all, pick{vm: m.vm, warm: m.vm.warm(g.Model, g.Version)})
		}
	}
	return all
}

// takeSpare frees a spare's VM. A spare serves nobody, so no request is in
// flight; a late order of its epoch is corrected like any other.
func (r *round) takeSpare(s *groupView, taker sardine.GroupID) {
	vm := s.Members[0].VM
	s.note.why = "used by group " + string(taker)
	r.propose(
		s,
		[]sardine.VMID{vm},
		state.MoveGroup{Group: s.ID, Epoch: s.Epoch, State: sardine.GroupFenced},
		state.FreeMember{VM: vm, Group: s.ID, Epoch: s.Epoch},
		state.MoveGroup{Group: s.ID, Epoch: s.Epoch, State: sardine.GroupReleased},
	)
}

// refill re-forms a group with picks in the places of missing members. All
// others keep their rank.
func (r *round) refill(g *groupView, missing []memberView, picks []pick, why string) {
	next := g.Group
	next.Members = append([]sardine.Member(nil), g.Members...)
	var vms []sardine.VMID
	for i, m := range missing {
		if picks[i].spare != nil {
			r.takeSpare(picks[i].spare, g.ID)
		}
		next.Members[indexOf(next.Members, m.VM)] = memberOf(picks[i].vm, m.Rank)
		vms = append(vms, picks[i].vm.target.VM)
	}
	g.note.why = why
	r.propose(g, vms, state.AssignGroup{Group: next})
}

func indexOf(members []sardine.Member, vm sardine.VMID) int {
	for i, m := range members {
		if m.VM == vm {
			return i
		}
	}
	return -1
}

func memberOf(v *vmView, rank int) sardine.Member {
	return sardine.Member{VM: v.target.VM, Incarnation: v.target.Incarnation, Rank: rank, Address: v.target.Address}
}
