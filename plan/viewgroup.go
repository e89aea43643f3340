package plan

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

func (r *round) viewGroups() {
	kinds := make(map[Kind]*kindView, len(r.kinds))
	for _, k := range r.kinds {
		kinds[k.Kind] = k
	}
	seen := make(map[sardine.GroupID]bool)
	for _, group := range r.p.logged.groups {
		seen[group.ID] = true
		g := r.viewGroup(group)
		g.kind = kinds[Kind{Team: group.Team, Service: group.Service}]
		r.groups = append(r.groups, g)
		r.byID[g.ID] = g
		if g.spare && g.State != sardine.GroupFenced {
			r.spares[g.Domain] = append(r.spares[g.Domain], g)
		}
		if g.kind != nil && g.active() {
			g.kind.groups = append(g.kind.groups, g)
		}
		if g.kind != nil && g.State == sardine.GroupServing {
			g.kind.serving++
		}
	}
	r.forgetGroups(seen)
	slices.SortStableFunc(r.groups, func(a, b *groupView) int { return cmp.Compare(b.value(), a.value()) })
}

func (r *round) forgetGroups(seen map[sardine.GroupID]bool) {
	for id := range r.p.groups {
		if !seen[id] && r.p.pending[id] == nil {
			delete(r.p.groups, id)
			delete(r.p.awaits, id)
			delete(r.p.claims, id)
		}
	}
}

func (r *round) viewGroup(group sardine.Group) *groupView {
	g := &groupView{
		Group: group,
		note:  r.noteGroup(group),
		spare: group.Service == "",
		busy:  r.p.pending[group.ID] != nil,
	}
	g.members = make([]memberView, len(group.Members))
	for i, member := range group.Members {
		v := r.p.logged.view(member.VM, r.p)
		v.member = v.member || group.State != sardine.GroupFenced && v.owner.Group == group.ID
		g.members[i] = memberView{Member: member, vm: v, condition: r.conditionOf(group, member, v)}
		if v.alive && v.status.Holding.State == sardine.MemberLoading {
			r.loading++
		}
	}
	return g
}

// noteGroup returns the group's note, renewed if its epoch or state changed.
func (r *round) noteGroup(group sardine.Group) *groupNote {
	n := r.p.groups[group.ID]
	if n == nil || n.epoch != group.Epoch {
		fresh := &groupNote{epoch: group.Epoch, since: r.now, state: group.State, downFrom: r.now}
		if n != nil {
			fresh.placed = n.placed
			fresh.why = n.why
			fresh.downFrom = n.downFrom
			fresh.served = n.served
		}
		n = fresh
		r.p.groups[group.ID] = n
	}
	if n.state != group.State {
		n.state = group.State
		n.since = r.now
	}
	switch {
	case group.State == sardine.GroupServing:
		n.downFrom = 0
		n.served = true
	case n.downFrom == 0:
		n.downFrom = r.now
	}
	return n
}

func (r *round) conditionOf(group sardine.Group, member sardine.Member, v *vmView) condition {
	if !v.known {
		return memberGone
	}
	if v.target.Incarnation != member.Incarnation {
		return memberRestarted
	}
	if !v.alive {
		if r.live.Settled() {
			return memberGone
		}
		return memberUnseen
	}
	if v.target.Leaving {
		return memberLeaving
	}
	if n := r.p.groups[group.ID]; n.swapOut == member.VM && group.State == sardine.GroupDegraded {
		return memberSlow
	}
	h := v.status.Holding
	sameEpoch := h.Epoch == group.Epoch || r.p.defect == DefectAnyEpoch
	if h.Group != group.ID || !sameEpoch {
		return memberElsewhere
	}
	switch h.State {
	case sardine.MemberReady, sardine.MemberOpen:
		return memberReady
	case sardine.MemberFailed:
		return memberFailed
	default:
		return memberLoading
	}
}
