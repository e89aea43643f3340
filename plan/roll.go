package plan

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// rollGroups loads the deployments' versions into groups that have another, one
// group of a deployment at a time and never below its floor.
func (r *round) rollGroups() {
	for _, k := range r.kinds {
		r.rollKind(k)
	}
}

func (r *round) rollKind(k *kindView) {
	var next *groupView
	rolling := 0
	for _, g := range k.groups {
		switch {
		case g.note.drain == drainRoll:
			rolling++
			r.endRoll(k, g)
		case k.current(g) && g.State != sardine.GroupServing:
			rolling++ // may be one that has just been rolled
		case !k.current(g) && !g.busy && (next == nil || next.State == sardine.GroupServing):
			next = g
		}
	}
	switch {
	case next == nil:
	case next.State != sardine.GroupServing:
		r.reassign(k, next)
	case rolling > 0:
		r.out.Waits = append(r.out.Waits, k.waitRoll(next, "another group is on its way"))
	case k.serving <= k.deployment.Floor:
		r.out.Waits = append(r.out.Waits, k.waitRoll(next, fmt.Sprintf("only %d groups serve and the floor is %d", k.serving, k.deployment.Floor)))
	default:
		r.drain(next, drainRoll, "the deployment's change to version "+k.deployment.ModelVersion+" is rolled out")
	}
}

func (k *kindView) waitRoll(g *groupView, reason string) Wait {
	return Wait{Team: k.Team, Service: k.Service, Group: g.ID, Reason: "keeps version " + g.Version + " for now: " + reason}
}

func (k *kindView) current(g *groupView) bool {
	d := k.deployment
	return g.Model == d.Model && g.Version == d.ModelVersion && len(g.Members) == d.GroupSize
}

func (r *round) endRoll(k *kindView, g *groupView) {
	if g.busy || g.State != sardine.GroupDegraded || !r.drained(g) {
		return
	}
	if len(g.missing()) > 0 {
		g.note.drain = notDraining // it is repaired first
		return
	}
	r.reassign(k, g)
}

// reassign gives a group the deployment's version, or ends it if its members
// can't load that or the deployment wants another size.
func (r *round) reassign(k *kindView, g *groupView) {
	if g.busy || g.State == sardine.GroupFenced {
		return
	}
	if !g.canRun(k) || len(g.Members) != k.deployment.GroupSize {
		r.dissolve(g, "its members can't form what the deployment wants now")
		r.dropKindGroup(g)
		return
	}
	if len(g.missing()) > 0 {
		return
	}
	next := g.Group
	next.Model = k.deployment.Model
	next.Version = k.deployment.ModelVersion
	g.note.drain = notDraining
	g.note.why = "it loads version " + next.Version
	r.propose(g, nil, state.AssignGroup{Group: next})
}
