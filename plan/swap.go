package plan

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// swapMembers looks for stragglers in the serving groups and replaces them by a
// loaded spare where that pays.
func (r *round) swapMembers() {
	for _, g := range r.groups {
		if g.State != sardine.GroupServing || g.busy || g.kind == nil || len(g.members) < 3 {
			continue
		}
		if slow, ratio := r.straggler(g); slow != nil {
			r.swap(g, slow, ratio)
		}
	}
}

// straggler returns the member whose own time for a token has for long been
// above the median of its group, and how far.
func (r *round) straggler(g *groupView) (slow *memberView, ratio float64) {
	median := g.medianStep()
	if median <= 0 {
		return nil, 0
	}
	for i := range g.members {
		m := &g.members[i]
		n := m.vm.note
		own := m.vm.status.Load.StepMillis / median
		if own < r.p.limits.SlowRatio {
			n.slowSince = 0
			continue
		}
		g.slow = true
		if n.slowSince == 0 {
			n.slowSince = r.now
		}
		if n.slowSince+r.p.limits.SlowFor <= r.now && own > ratio {
			slow, ratio = m, own
		}
	}
	return slow, ratio
}

func (g *groupView) medianStep() float64 {
	steps := make([]float64, 0, len(g.members))
	for _, m := range g.members {
		steps = append(steps, m.vm.status.Load.StepMillis)
	}
	slices.Sort(steps)
	return steps[len(steps)/2]
}

// swap replaces a straggler if the policy finds that it pays, or has a spare
// loaded for that first.
func (r *round) swap(g *groupView, slow *memberView, ratio float64) {
	rate := r.rateOf(g)
	s := Swap{
		Objective: g.kind.objective,
		Gain:      (1 - 1/ratio) * rate * seconds(r.p.limits.Horizon),
		Cost:      seconds(drainUsual+2*orderTrip) * rate,
	}
	if !r.p.policy.Replace(s) {
		return
	}
	if len(r.sparesIn(g.Domain, g.Team, g.Model, g.Version)) == 0 {
		r.wants[stockKey{kind: g.kind.Kind, domain: g.Domain}]++
		g.note.why = "member " + string(slow.VM) + " is too slow, no loaded spare yet"
		return
	}
	g.note.swapOut = slow.VM
	r.drain(g, drainSwap, "member "+string(slow.VM)+" is too slow")
}
