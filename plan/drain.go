package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// drainSettle is how long entry nodes may continue to dispatch to a group after
// it left the serving state. A group does not count as drained before.
const drainSettle = 2 * sardine.Second

// drain removes a group from routing, so that its requests in flight can end
// before its members are released. A drain that goes on for another purpose keeps its
// time limit.
func (r *round) drain(g *groupView, purpose DrainPurpose, reason string) {
	if g.record.drain == notDraining || g.State == sardine.GroupServing {
		g.record.drainAt = r.now
	}
	g.record.drain = purpose
	if g.State == sardine.GroupServing {
		r.move(g, sardine.GroupDegraded, reason)
		return
	}
	g.record.reason = reason
}

// drained reports whether a draining group has no request in flight, can't
// finish those it has, or has reached its drain timeout.
func (r *round) drained(g *groupView) bool {
	if g.State == sardine.GroupServing {
		return false
	}
	if g.record.drainAt+r.p.limits.DrainTimeout <= r.now || !g.canFinish() {
		return true
	}
	if g.record.drainAt+drainSettle > r.now {
		return false
	}
	return r.idle(g)
}

// endInheritedDrain ends the drain of a group that an earlier leader took out of service.
// The group serves again if all its members are ready. Otherwise it may be repaired or
// dissolved, but only once it is drained: its requests may have begun before the election.
func (r *round) endInheritedDrain(g *groupView) {
	switch {
	case g.deployment != nil && g.ready() && g.open():
		g.record.drain = notDraining
		r.move(g, sardine.GroupServing, "every member is ready")
	case r.drained(g):
		g.record.drain = notDraining
	default:
		r.recordWait(g, "an earlier leader took it out of service, and it may have requests in flight")
	}
}

// requestCounter is a Fleet that counts the requests in flight at a group.
type requestCounter interface {
	// GroupInFlight returns the requests that entry nodes have reported; known is false
	// if none of them has reported on the group.
	GroupInFlight(g sardine.GroupID, e sardine.Epoch) (count int, known bool)
	// EntriesMissing reports whether some entry node may have requests that it could not
	// report.
	EntriesMissing() bool
}

// idle reports whether a group is known to have no request in flight, by the reports of
// entry nodes, or else of its rank 0.
func (r *round) idle(g *groupView) bool {
	head := g.members[0].vm
	if counter, ok := r.live.(requestCounter); ok {
		if counter.EntriesMissing() {
			return false
		}
		if n, known := counter.GroupInFlight(g.ID, g.Epoch); known {
			return n == 0
		}
	}
	return head.alive && head.status.Load.Running+head.status.Load.Queued == 0
}

// canFinish reports whether the group's engines can still finish requests. A member that
// has not announced itself to a new leader may be able to.
func (g *groupView) canFinish() bool {
	for _, m := range g.members {
		if m.condition == memberUnseen {
			continue
		}
		h := m.vm.status.CurrentOrder
		if !m.vm.alive || h.Group != g.ID || h.Epoch != g.Epoch || !h.State.Ready() {
			return false
		}
	}
	return true
}

// dissolve ends a group: immediately if it does not serve, otherwise after a
// drain.
func (r *round) dissolve(g *groupView, reason string) {
	if g.State != sardine.GroupServing && r.drainedOrIdle(g) {
		g.record.drain = drainDissolve
		r.move(g, sardine.GroupFenced, reason)
		return
	}
	r.drain(g, drainDissolve, reason)
}

func (r *round) drainedOrIdle(g *groupView) bool {
	return g.record.drain == notDraining || r.drained(g)
}

// dissolveSurplus ends the groups that no deployment wants, and those that have
// been drained in order to be dissolved.
func (r *round) dissolveSurplus() {
	for _, g := range r.groups {
		if g.busy || g.State == sardine.GroupFenced {
			continue
		}
		switch {
		case g.record.drain == drainDissolve:
			if r.drained(g) {
				r.move(g, sardine.GroupFenced, g.record.reason)
			}
		case g.spare:
			r.dropSpare(g)
		case g.deployment == nil:
			r.dissolve(g, "its deployment was removed")
		}
	}
	for _, dv := range r.deployments {
		r.trim(dv)
	}
}

// trim dissolves the surplus groups of a deployment, those that do not serve
// first.
func (r *round) trim(dv *deploymentView) {
	for _, mayServe := range []bool{false, true} {
		for i := len(dv.groups) - 1; i >= 0 && dv.missing() < 0; i-- {
			g := dv.groups[i]
			if g.busy || (g.State == sardine.GroupServing) != mayServe {
				continue
			}
			r.dissolve(g, "the deployment wants fewer groups")
			dv.groups = append(dv.groups[:i:i], dv.groups[i+1:]...)
		}
	}
}

// dropSpare dissolves a spare that no deployment can use.
func (r *round) dropSpare(g *groupView) {
	for _, dv := range r.deployments {
		if dv.Team == g.Team && dv.spec.Model == g.Model && dv.spec.ModelVersion == g.Version {
			return
		}
	}
	r.move(g, sardine.GroupFenced, "no deployment uses this version")
}
