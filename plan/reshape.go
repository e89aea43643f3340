package plan

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// reshapingGain is the factor by which a reshaping must raise the lowest coverage.
// Groups of different sizes never cover their demands exactly alike.
const reshapingGain = 1.1

// reshapeTimeout is how long other groups wait for the members of those that make
// room.
const reshapeTimeout = 5 * sardine.Second

// reshaping is a set of groups of one domain that make room for a group of another
// deployment.
type reshaping struct {
	victims  []*groupView
	coverage float64 // lowest one afterwards of the deployments involved
}

// makeRoom dissolves groups so that a deployment that no domain has room for gets a
// group, if that raises the lowest coverage by reshapingGain. VMs announce themselves
// in any order, and the groups that formed first may have split the domains that
// larger ones need. It reports whether the deployment should wait for the VMs.
//
// Groups stay where loads are metered, as they are once callers' requests have begun:
// a group that forms anew serves no request until its weights are loaded.
func (r *round) makeRoom(dv *deploymentView) bool {
	if !r.loadsUnmetered() {
		return false
	}
	if r.awaitsRoom() {
		return true
	}
	best := reshaping{coverage: reshapingGain * dv.coverage()}
	for _, d := range r.domains() {
		if s := r.reshapingIn(dv, d); s.victims != nil && s.coverage > best.coverage {
			best = s
		}
	}
	for _, g := range best.victims {
		r.dissolveUnused(g, fmt.Sprintf("its VMs make a group of %s, which covers less of its demand", dv.Service))
		r.p.reshapedAt = r.now
	}
	return best.victims != nil
}

// awaitsRoom reports whether groups that make room still have members. A member
// whose release takes too long is not waited for.
func (r *round) awaitsRoom() bool {
	if r.p.reshapedAt == 0 || r.p.reshapedAt+reshapeTimeout <= r.now {
		return false
	}
	return slices.ContainsFunc(r.groups, func(g *groupView) bool {
		return g.record.drain == drainDissolve && slices.ContainsFunc(g.members, func(m memberView) bool {
			return m.vm.alive && m.vm.owned && m.vm.owner.Group == g.ID
		})
	})
}

// reshapingIn returns the smallest reshaping of a domain that makes room for a
// deployment, without victims if there is none.
func (r *round) reshapingIn(dv *deploymentView, d sardine.FabricDomain) reshaping {
	s := reshaping{coverage: dv.coverageOf(len(dv.groups) + 1)}
	have := len(r.candidates(dv, d))
	for _, other := range r.deployments {
		if other == dv || !other.byDemand() {
			continue
		}
		kept := len(other.groups)
		for _, g := range other.groups {
			if have >= dv.spec.GroupSize {
				break
			}
			if g.Domain != d || g.busy || r.preemptibleMembers(g, dv.spec.Model) == 0 {
				continue
			}
			have += r.preemptibleMembers(g, dv.spec.Model)
			s.victims = append(s.victims, g)
			kept--
		}
		if kept < len(other.groups) {
			s.coverage = min(s.coverage, other.coverageOf(kept))
		}
	}
	if have < dv.spec.GroupSize {
		return reshaping{}
	}
	return s
}

// dissolveUnused dissolves a group, without a drain if it is known to have no requests.
func (r *round) dissolveUnused(g *groupView, reason string) {
	if !r.idle(g) {
		r.dissolve(g, reason)
	} else {
		g.record.drain = drainDissolve
		r.move(g, sardine.GroupFenced, reason)
	}
	r.dropGroup(g)
}
