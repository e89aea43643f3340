package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// candidate is a VM that may fill one place in a group.
type candidate struct {
	vm    *vmView
	spare *groupView // the spare group that holds it, or nil
	warm  bool       // has the weights
}

// freeIn returns the free VMs of a domain that are not allocated in this round
// and can load a model, warm ones first.
func (r *round) freeIn(d sardine.FabricDomain, model sardine.ModelName, version string) []candidate {
	var warm, cold []candidate
	for _, v := range r.free[d] {
		switch {
		case r.allocated[v.target.VM] || !v.canLoad(model):
		case v.warm(model, version):
			warm = append(warm, candidate{vm: v, warm: true})
		default:
			cold = append(cold, candidate{vm: v})
		}
	}
	return append(warm, cold...)
}

// sparesIn returns the loaded spares of a domain for a model's version.
func (r *round) sparesIn(d sardine.FabricDomain, team sardine.Team, model sardine.ModelName, version string) []candidate {
	var all []candidate
	for _, g := range r.spares[d] {
		if r.usableSpare(g) && g.Team == team && g.Model == model && g.Version == version && g.ready() {
			all = append(all, candidate{vm: g.members[0].vm, spare: g, warm: true})
		}
	}
	return all
}

func (r *round) usableSpare(g *groupView) bool {
	m := g.members[0]
	return !g.busy && m.vm.alive && !m.condition.missing() && !r.allocated[m.VM] && !r.staleOrderPossible(m.vm)
}

// recoveredMembers returns the missing members that restarted under a new
// incarnation or may try a failed order again.
func (r *round) recoveredMembers(g *groupView, missing []memberView) []candidate {
	var all []candidate
	for _, m := range missing {
		back := m.condition == memberRestarted || m.condition == memberFailed
		if back && m.vm.alive && !m.vm.target.Leaving && m.vm.record.excludedUntil <= r.now && !r.staleOrderPossible(m.vm) {
			all = append(all, candidate{vm: m.vm, warm: m.vm.warm(g.Model, g.Version)})
		}
	}
	return all
}

// releaseSpare frees a spare's VM. A spare has no requests in flight, and a
// late order of its epoch is corrected like any other.
func (r *round) releaseSpare(s *groupView, taker sardine.GroupID) {
	vm := s.Members[0].VM
	s.record.reason = "used by group " + string(taker)
	r.propose(
		s,
		[]sardine.VMID{vm},
		state.MoveGroup{Group: s.ID, Epoch: s.Epoch, State: sardine.GroupFenced},
		state.FreeMember{VM: vm, Group: s.ID, Epoch: s.Epoch},
		state.MoveGroup{Group: s.ID, Epoch: s.Epoch, State: sardine.GroupReleased},
	)
}

// replaceMembers assigns the group anew with candidates in the places of its
// missing members. All other members keep their rank.
func (r *round) replaceMembers(g *groupView, missing []memberView, picks []candidate, reason string) {
	next := g.Group
	next.Members = append([]sardine.Member(nil), g.Members...)
	var vms []sardine.VMID
	for i, m := range missing {
		if picks[i].spare != nil {
			r.releaseSpare(picks[i].spare, g.ID)
		}
		next.Members[indexOf(next.Members, m.VM)] = memberOf(picks[i].vm, m.Rank)
		vms = append(vms, picks[i].vm.target.VM)
	}
	g.record.reason = reason
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
