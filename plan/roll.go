package plan

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// rollGroups rolls a deployment's new version out to its groups, one group of a
// deployment at a time and never with fewer serving groups than the floor.
func (r *round) rollGroups() {
	for _, dv := range r.deployments {
		r.rollDeployment(dv)
	}
}

func (r *round) rollDeployment(dv *deploymentView) {
	var next *groupView
	rolling := 0
	for _, g := range dv.groups {
		switch {
		case g.record.drain == drainRoll:
			rolling++
			r.endRoll(dv, g)
		case dv.current(g) && g.State != sardine.GroupServing:
			rolling++ // may have just been updated
		case g.record.drain == drainInherited:
			rolling++ // may have been updated when the leader changed
		case !dv.current(g) && !g.busy && (next == nil || next.State == sardine.GroupServing):
			next = g
		}
	}
	switch {
	case next == nil:
	case next.State != sardine.GroupServing:
		r.reassign(dv, next)
	case rolling > 0:
		r.out.Waits = append(r.out.Waits, dv.waitRoll(next, "another group is being updated"))
	case dv.serving <= dv.spec.Floor:
		r.out.Waits = append(r.out.Waits, dv.waitRoll(next, fmt.Sprintf("only %d groups serve and the floor is %d", dv.serving, dv.spec.Floor)))
	default:
		r.drain(next, drainRoll, "version "+dv.spec.ModelVersion+" is being rolled out")
	}
}

func (dv *deploymentView) waitRoll(g *groupView, reason string) Wait {
	return Wait{Team: dv.Team, Service: dv.Service, Group: g.ID, Reason: "keeps version " + g.Version + " for now: " + reason}
}

func (dv *deploymentView) current(g *groupView) bool {
	d := dv.spec
	return g.Model == d.Model && g.Version == d.ModelVersion && len(g.Members) == d.GroupSize
}

func (r *round) endRoll(dv *deploymentView, g *groupView) {
	if g.busy || g.State != sardine.GroupDegraded || !r.drained(g) {
		return
	}
	if len(g.missing()) > 0 {
		g.record.drain = notDraining // repairGroups repairs it first
		return
	}
	r.reassign(dv, g)
}

// reassign assigns the deployment's version to a group. It dissolves the group
// if its members can't load the version or the deployment wants another size.
func (r *round) reassign(dv *deploymentView, g *groupView) {
	if g.busy || g.State == sardine.GroupFenced {
		return
	}
	if !g.canRun(dv) || len(g.Members) != dv.spec.GroupSize {
		r.dissolve(g, "its members can't form what the deployment wants now")
		r.dropGroup(g)
		return
	}
	if len(g.missing()) > 0 {
		return
	}
	next := g.Group
	next.Model = dv.spec.Model
	next.Version = dv.spec.ModelVersion
	g.record.drain = notDraining
	g.record.reason = "it loads version " + next.Version
	r.propose(g, nil, state.AssignGroup{Group: next})
}
