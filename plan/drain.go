package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// drainSettle is how long entry nodes may go on dispatching to a group after it
// was moved out of serving. A group counts as drained no earlier.
const drainSettle = 2 * sardine.Second

// drain takes a group out of routing, so that its requests in flight can end
// before its members are taken.
func (r *round) drain(g *groupView, purpose Purpose, why string) {
	g.note.drain = purpose
	g.note.drainAt = r.now
	if g.State == sardine.GroupServing {
		r.move(g, sardine.GroupDegraded, why)
		return
	}
	g.note.why = why
}

// drained reports whether a draining group has no request in flight, or was
// given long enough.
func (r *round) drained(g *groupView) bool {
	if g.State == sardine.GroupServing {
		return false
	}
	if g.note.drainAt+r.p.limits.Drain <= r.now || !g.served() {
		return true
	}
	if g.note.drainAt+drainSettle > r.now {
		return false
	}
	return r.inFlight(g) == 0
}

// flightCounter is a Fleet that knows the requests in flight at a group.
type flightCounter interface {
	Flights(g sardine.GroupID, e sardine.Epoch) (count int, known bool)
}

// inFlight returns the requests in flight at a group, as entry nodes or its rank 0
// say.
func (r *round) inFlight(g *groupView) int {
	if counter, ok := r.live.(flightCounter); ok {
		if n, known := counter.Flights(g.ID, g.Epoch); known {
			return n
		}
	}
	load := g.members[0].vm.status.Load
	return load.Running + load.Queued
}

// served reports whether the group's engines can still finish requests.
func (g *groupView) served() bool {
	for _, m := range g.members {
		h := m.vm.status.Holding
		if !m.vm.alive || h.Group != g.ID || h.Epoch != g.Epoch || !h.State.Ready() {
			return false
		}
	}
	return true
}

// dissolve ends a group: at once if it does not serve, else once it is drained.
func (r *round) dissolve(g *groupView, why string) {
	if g.State != sardine.GroupServing && r.drainedOrIdle(g) {
		g.note.drain = drainDissolve
		r.move(g, sardine.GroupFenced, why)
		return
	}
	r.drain(g, drainDissolve, why)
}

func (r *round) drainedOrIdle(g *groupView) bool {
	return g.note.drain == notDraining || r.drained(g)
}

// dissolveSurplus ends the groups that no deployment wants, and those whose
// drain for that is over.
func (r *round) dissolveSurplus() {
	for _, g := range r.groups {
		if g.busy || g.State == sardine.GroupFenced {
			continue
		}
		switch {
		case g.note.drain == drainDissolve:
			if r.drained(g) {
				r.move(g, sardine.GroupFenced, g.note.why)
			}
		case g.spare:
			r.dropSpare(g)
		case g.kind == nil:
			r.dissolve(g, "its deployment is gone")
		}
	}
	for _, k := range r.kinds {
		r.trim(k)
	}
}

// trim ends the surplus groups of a deployment, those that do not serve first.
func (r *round) trim(k *kindView) {
	for _, mayServe := range []bool{false, true} {
		for i := len(k.groups) - 1; i >= 0 && k.missing() < 0; i-- {
			g := k.groups[i]
			if g.busy || (g.State == sardine.GroupServing) != mayServe {
				continue
			}
			r.dissolve(g, "the deployment wants fewer groups")
			k.groups = append(k.groups[:i:i], k.groups[i+1:]...)
		}
	}
}

// dropSpare ends a spare that no deployment could use any more.
func (r *round) dropSpare(g *groupView) {
	for _, k := range r.kinds {
		if k.Team == g.Team && k.deployment.Model == g.Model && k.deployment.ModelVersion == g.Version {
			return
		}
	}
	r.move(g, sardine.GroupFenced, "no deployment uses this version")
}
