package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// drainSettle is how long entry nodes may continue to dispatch to a group after
// it left the serving state. A group does not count as drained before.
const drainSettle = 2 * sardine.Second

// drain removes a group from routing, so that its requests in flight can end
// before its members are released.
func (r *round) drain(g *groupView, purpose DrainPurpose, reason string) {
	g.record.drain = purpose
	g.record.drainAt = r.now
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
	return r.inFlight(g) == 0
}

// requestCounter is a Fleet that counts the requests in flight at a group.
type requestCounter interface {
	GroupInFlight(g sardine.GroupID, e sardine.Epoch) (count int, known bool)
}

// inFlight returns the requests in flight at a group as reported by entry
// nodes, or else by its rank 0.
func (r *round) inFlight(g *groupView) int {
	if counter, ok := r.live.(requestCounter); ok {
		if n, known := counter.GroupInFlight(g.ID, g.Epoch); known {
			return n
		}
	}
	load := g.members[0].vm.status.Load
	return load.Running + load.Queued
}

// canFinish reports whether the group's engines can still finish requests.
func (g *groupView) canFinish() bool {
	for _, m := range g.members {
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
