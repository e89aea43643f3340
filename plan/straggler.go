package plan

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// replaceStragglers finds stragglers in serving groups and replaces them by
// loaded spares if the policy agrees.
func (r *round) replaceStragglers() {
	for _, g := range r.groups {
		if g.State != sardine.GroupServing || g.busy || g.deployment == nil || len(g.members) < 3 {
			continue
		}
		if slow, ratio := r.straggler(g); slow != nil {
			r.replaceStraggler(g, slow, ratio)
		}
	}
}

// straggler returns the slowest member whose step time has exceeded the median
// of its group by SlowRatio for at least SlowFor, and its ratio.
func (r *round) straggler(g *groupView) (slow *memberView, ratio float64) {
	median := g.medianStep()
	if median <= 0 {
		return nil, 0
	}
	for i := range g.members {
		m := &g.members[i]
		n := m.vm.record
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

// replaceStraggler replaces a straggler if the policy agrees. If no spare is
// loaded it requests one first.
func (r *round) replaceStraggler(g *groupView, slow *memberView, ratio float64) {
	rate := r.costRate(g)
	s := Replacement{
		Objective: g.deployment.objective,
		Gain:      (1 - 1/ratio) * rate * seconds(r.p.limits.Horizon),
		Cost:      seconds(expectedDrain+2*orderRoundTrip) * rate,
	}
	if !r.p.policy.Replace(s) {
		return
	}
	if len(r.sparesIn(g.Domain, g.Team, g.Model, g.Version)) == 0 {
		r.extraSpares[spareKey{deployment: g.deployment.DeploymentKey, domain: g.Domain}]++
		g.record.reason = "member " + string(slow.VM) + " is too slow, no loaded spare yet"
		return
	}
	g.record.replacedMember = slow.VM
	r.drain(g, drainReplace, "member "+string(slow.VM)+" is too slow")
}
