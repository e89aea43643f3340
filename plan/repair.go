package plan

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
)

// repairGroups lets the policy choose for each group that lacks members, the
// most valuable first.
func (r *round) repairGroups() {
	for _, g := range r.groups {
		if g.busy || g.spare || g.kind == nil || g.State != sardine.GroupDegraded || g.note.drain > drainSwap {
			continue
		}
		if g.note.drain == drainSwap && !r.endSwap(g) {
			continue
		}
		switch {
		case len(g.missing()) > 0 && g.kind.byDemand():
			r.repairByDemand(g)
		case len(g.missing()) > 0:
			r.repairGroup(g)
		case g.note.newEpoch:
			r.refill(g, nil, nil, "an engine holds a higher epoch")
		}
	}
}

// endSwap reports whether a group that lost or replaces a member is drained. A
// straggler stays if nothing is there to replace it.
func (r *round) endSwap(g *groupView) bool {
	if !r.drained(g) {
		return false
	}
	g.note.drain = notDraining
	slow := g.missing()
	if len(slow) != 1 || slow[0].condition != memberSlow {
		return true
	}
	if len(r.sparesIn(g.Domain, g.Team, g.Model, g.Version)) == 0 {
		g.note.swapOut = ""
		return false
	}
	slow[0].vm.note.barredUntil = r.now + r.p.limits.FlapBarMost
	return true
}

func (r *round) repairGroup(g *groupView) {
	x := r.newRepair(g)
	if r.awaiting(g) && x.spares == nil && x.reform == nil {
		r.hold(g.Domain, len(x.missing), g.value())
		r.wait(g, "it waits for the members of another group")
		return
	}
	e := r.p.policy.Repair(x.ways)
	why := fmt.Sprintf("%d of %d members missing; way %s, expected to serve in %d s", len(x.missing), len(g.members), e.Way, e.Ready/sardine.Second)
	switch e.Way {
	case WaySpare:
		r.refill(g, x.missing, x.spares, why)
	case WayReform:
		r.refill(g, x.missing, x.reform, why)
	case WayTake:
		r.p.awaits[x.victim.ID] = g.ID
		r.hold(g.Domain, len(x.missing), g.value())
		r.dissolve(x.victim, "its members are needed by group "+string(g.ID))
		r.wait(g, why+", from group "+string(x.victim.ID))
	case WayDissolve:
		r.dissolve(g, why)
		r.dropKindGroup(g)
	default:
		r.waitForMembers(g, x, why)
	}
}

// waitForMembers takes members back that have returned under a new incarnation.
func (r *round) waitForMembers(g *groupView, x *repair, why string) {
	back := r.returned(g, x.missing)
	if len(back) == len(x.missing) {
		r.refill(g, x.missing, back, "the missing members are back")
		return
	}
	r.wait(g, why)
}

func (r *round) dropKindGroup(g *groupView) {
	kept := g.kind.groups[:0:0]
	for _, other := range g.kind.groups {
		if other != g {
			kept = append(kept, other)
		}
	}
	g.kind.groups = kept
}

// hold reserves free VMs of a domain for those who wait for more.
func (r *round) hold(d sardine.FabricDomain, count int, value float64) {
	h := r.reserved[d]
	r.reserved[d] = reserve{count: h.count + count, value: max(h.value, value)}
}

// wait notes why a group does not serve.
func (r *round) wait(g *groupView, reason string) {
	g.note.why = reason
	r.out.Waits = append(r.out.Waits, Wait{Team: g.Team, Service: g.Service, Group: g.ID, Reason: reason})
}
