package plan

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

func (r *round) viewGroups() {
	deployments := make(map[DeploymentKey]*deploymentView, len(r.deployments))
	for _, dv := range r.deployments {
		deployments[dv.DeploymentKey] = dv
	}
	seen := make(map[sardine.GroupID]bool)
	for _, group := range r.p.logView.groups {
		seen[group.ID] = true
		g := r.viewGroup(group)
		g.deployment = deployments[DeploymentKey{Team: group.Team, Service: group.Service}]
		r.groups = append(r.groups, g)
		r.byID[g.ID] = g
		if g.spare && g.State != sardine.GroupFenced {
			r.spares[g.Domain] = append(r.spares[g.Domain], g)
		}
		if g.deployment != nil && g.active() {
			g.deployment.groups = append(g.deployment.groups, g)
		}
		if g.deployment != nil && g.State == sardine.GroupServing {
			g.deployment.serving++
		}
	}
	r.pruneGroups(seen)
	slices.SortStableFunc(r.groups, func(a, b *groupView) int { return cmp.Compare(b.value(), a.value()) })
}

func (r *round) pruneGroups(seen map[sardine.GroupID]bool) {
	for id := range r.p.groups {
		if !seen[id] && r.p.pending[id] == nil {
			delete(r.p.groups, id)
			delete(r.p.waitingGroups, id)
			delete(r.p.waitingDeployments, id)
		}
	}
}

func (r *round) viewGroup(group sardine.Group) *groupView {
	g := &groupView{
		Group:  group,
		record: r.groupRecordOf(group),
		spare:  group.Service == "",
		busy:   r.p.pending[group.ID] != nil,
	}
	g.members = make([]memberView, len(group.Members))
	for i, member := range group.Members {
		v := r.p.logView.view(member.VM, r.p)
		v.member = v.member || group.State != sardine.GroupFenced && v.owner.Group == group.ID
		g.members[i] = memberView{Member: member, vm: v, condition: r.conditionOf(group, member, v)}
		if v.alive && v.status.CurrentOrder.State == sardine.MemberLoading {
			r.loading++
		}
	}
	return g
}

// groupRecordOf returns the group's record. It starts a new one if the epoch
// changed and resets the state's time if the state changed.
func (r *round) groupRecordOf(group sardine.Group) *groupRecord {
	n := r.p.groups[group.ID]
	if n == nil || n.epoch != group.Epoch {
		fresh := &groupRecord{epoch: group.Epoch, since: r.now, state: group.State, downSince: r.now}
		if n != nil {
			fresh.placement = n.placement
			fresh.reason = n.reason
			fresh.downSince = n.downSince
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
		n.downSince = 0
		n.served = true
	case n.downSince == 0:
		n.downSince = r.now
	}
	return n
}

func (r *round) conditionOf(group sardine.Group, member sardine.Member, v *vmView) condition {
	if !v.registered {
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
	if n := r.p.groups[group.ID]; n.replacedMember == member.VM && group.State == sardine.GroupDegraded {
		return memberSlow
	}
	h := v.status.CurrentOrder
	sameEpoch := h.Epoch == group.Epoch || r.p.defect == DefectAnyEpoch
	if h.Group != group.ID || !sameEpoch {
		return memberWithoutOrder
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
