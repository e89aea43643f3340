package plan

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
)

// repairGroups lets the policy choose a repair for each group that lacks
// members, the most valuable first.
func (r *round) repairGroups() {
	for _, g := range r.groups {
		if g.busy || g.spare || g.deployment == nil || g.State != sardine.GroupDegraded || g.record.drain > drainReplace {
			continue
		}
		if g.record.drain == drainReplace && !r.finishReplacement(g) {
			continue
		}
		switch {
		case len(g.missing()) > 0 && g.deployment.byDemand():
			r.repairByDemand(g)
		case len(g.missing()) > 0:
			r.repairGroup(g)
		case g.record.epochBehind:
			r.replaceMembers(g, nil, nil, "an engine holds a higher epoch")
		}
	}
}

// finishReplacement reports whether a group that replaces a member is drained
// and can be repaired. A straggler stays if no spare can replace it any more.
func (r *round) finishReplacement(g *groupView) bool {
	if !r.drained(g) {
		return false
	}
	g.record.drain = notDraining
	slow := g.missing()
	if len(slow) != 1 || slow[0].condition != memberSlow {
		return true
	}
	if len(r.sparesIn(g.Domain, g.Team, g.Model, g.Version)) == 0 {
		g.record.replacedMember = ""
		return false
	}
	slow[0].vm.record.excludedUntil = r.now + r.p.limits.MaxFlapExclusion
	return true
}

func (r *round) repairGroup(g *groupView) {
	x := r.newRepair(g)
	if r.awaiting(g) && x.spares == nil && x.reform == nil {
		r.reserve(g.Domain, len(x.missing), g.value())
		r.recordWait(g, "it waits for the members of another group")
		return
	}
	e := r.p.policy.Repair(x.repairCase)
	reason := fmt.Sprintf("%d of %d members missing; repair action %s, expected to serve in %d s", len(x.missing), len(g.members), e.Action, e.Ready/sardine.Second)
	switch e.Action {
	case RepairSpare:
		r.replaceMembers(g, x.missing, x.spares, reason)
	case RepairReform:
		r.replaceMembers(g, x.missing, x.reform, reason)
	case RepairPreempt:
		r.p.waitingGroups[x.victim.ID] = g.ID
		r.reserve(g.Domain, len(x.missing), g.value())
		r.dissolve(x.victim, "its members are needed by group "+string(g.ID))
		r.recordWait(g, reason+", from group "+string(x.victim.ID))
	case RepairDissolve:
		r.dissolve(g, reason)
		r.dropGroup(g)
	default:
		r.waitForMembers(g, x, reason)
	}
}

// waitForMembers assigns the group anew once all missing members have returned.
func (r *round) waitForMembers(g *groupView, x *repair, reason string) {
	back := r.recoveredMembers(g, x.missing)
	if len(back) == len(x.missing) {
		r.replaceMembers(g, x.missing, back, "the missing members are back")
		return
	}
	r.recordWait(g, reason)
}

func (r *round) dropGroup(g *groupView) {
	kept := g.deployment.groups[:0:0]
	for _, other := range g.deployment.groups {
		if other != g {
			kept = append(kept, other)
		}
	}
	g.deployment.groups = kept
}

// reserve keeps free VMs of a domain for groups that wait for more VMs.
func (r *round) reserve(d sardine.FabricDomain, count int, value float64) {
	h := r.reserved[d]
	r.reserved[d] = reservation{count: h.count + count, value: max(h.value, value)}
}

// recordWait records why a group does not serve.
func (r *round) recordWait(g *groupView, reason string) {
	g.record.reason = reason
	r.out.Waits = append(r.out.Waits, Wait{Team: g.Team, Service: g.Service, Group: g.ID, Reason: reason})
}
