package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// RepairAction is an action that the planner can take for a group that lacks members.
type RepairAction uint8

// The repair actions.
const (
	RepairSpare    RepairAction = iota + 1 // replace the members by loaded spares of the domain
	RepairReform                           // replace the members by free VMs of the domain or by returned members
	RepairPreempt                          // dissolve a less valuable group of the domain and use its members
	RepairWait                             // wait for the missing members
	RepairDissolve                         // dissolve the group and use its members elsewhere
)

// String returns the name used in explanations and measurements.
func (w RepairAction) String() string {
	names := [...]string{"none", "spare", "reform", "take", "wait", "dissolve"}
	if int(w) < len(names) {
		return names[w]
	}
	return "unknown"
}

// Estimate is the expected outcome of one repair action.
type Estimate struct {
	Action RepairAction
	Ready  sardine.Millis  // until the group serves again
	Cost   float64         // weighted by the objective
	Victim sardine.GroupID // RepairPreempt: the group to dissolve
}

// RepairCase describes a group that lacks members, and the repair actions that are
// possible. RepairWait and RepairDissolve always are.
type RepairCase struct {
	Group     sardine.GroupID
	Objective sardine.Objective
	Value     float64        // of the group
	Down      sardine.Millis // how long the group has not served
	Missing   int            // members
	Actions   []Estimate
}

// Find returns the estimate of a repair action, if it is possible.
func (c RepairCase) Find(w RepairAction) (Estimate, bool) {
	for _, e := range c.Actions {
		if e.Action == w {
			return e, true
		}
	}
	return Estimate{}, false
}

// SpareCase describes a domain in which loaded spares of a deployment may be kept.
type SpareCase struct {
	Objective       sardine.Objective
	Value           float64 // of one of the deployment's groups
	Wanted          int     // spares that the operator asks for
	VMs             int     // in the deployment's groups of the domain
	Idle            int     // VMs that no group can use
	Failures        float64 // per VM and second
	LoadTime        sardine.Millis
	OpportunityCost float64 // cost per second of reserving one VM that a group could use
}

// Replacement describes a serving group that would perform better with one member
// replaced.
type Replacement struct {
	Objective sardine.Objective
	Leaving   bool    // the member is leaving anyway
	Gain      float64 // over the horizon, weighted by the objective
	Cost      float64 // of the replacement, weighted by the objective
}

// Policy decides how the planner responds to the loss of members. All policies
// get the same estimates. Implementations are Cheapest, and Fixed for
// comparisons.
type Policy interface {
	// Name returns the name used in settings and measurements.
	Name() string
	// Repair chooses one of the possible actions.
	Repair(RepairCase) Estimate
	// SparesToKeep returns how many VMs to reserve in a domain as loaded spares, and
	// how many of the VMs that are idle anyway to load.
	SparesToKeep(SpareCase) (held, idle int)
	// Preempt reports whether a group that can't be formed otherwise may use
	// the members of victims, given the gain and cost over the horizon.
	Preempt(gain, cost float64) bool
	// Replace reports whether to replace a member of a serving group.
	Replace(Replacement) bool
}

// Cheapest is the default policy. It chooses the action with the lowest
// expected cost under the team's objective.
type Cheapest struct{}

// NewCheapest returns the default policy.
func NewCheapest() Cheapest {
	return Cheapest{}
}

// Name returns "cheapest".
func (Cheapest) Name() string {
	return "cheapest"
}

// Repair chooses the action with the lowest cost. The first of equal ones wins,
// so actions that change less are listed first.
func (Cheapest) Repair(c RepairCase) Estimate {
	best := c.Actions[0]
	for _, e := range c.Actions[1:] {
		if e.Cost < best.Cost {
			best = e
		}
	}
	return best
}

// SparesToKeep loads VMs that are idle anyway. It reserves further VMs only while the
// downtime that a spare saves costs more than keeping its VM out of a group.
func (Cheapest) SparesToKeep(s SpareCase) (held, idle int) {
	saved := s.Failures * float64(s.VMs) * s.Objective.DowntimeWeight * s.Value * seconds(s.LoadTime)
	if saved > s.OpportunityCost {
		held = s.Wanted
	}
	return held, max(s.Wanted-held, 0)
}

// Preempt reports whether the gain exceeds the cost.
func (Cheapest) Preempt(gain, cost float64) bool {
	return gain > cost
}

// Replace reports whether the gain exceeds the cost. A leaving member is always
// replaced.
func (Cheapest) Replace(s Replacement) bool {
	return s.Leaving || s.Gain > s.Cost
}

// Fixed is a policy that always prefers one repair action.
type Fixed struct {
	action RepairAction
}

// NewFixed returns a policy that chooses one action whenever it is possible.
// Otherwise RepairSpare and RepairPreempt fall back to RepairReform, and all wait if that
// is not possible either.
func NewFixed(action RepairAction) Fixed {
	return Fixed{action: action}
}

// Name returns the name of the action.
func (f Fixed) Name() string {
	return f.action.String()
}

// Repair chooses the fixed action if it is possible.
func (f Fixed) Repair(c RepairCase) Estimate {
	order := map[RepairAction][]RepairAction{
		RepairSpare:    {RepairSpare, RepairReform},
		RepairReform:   {RepairReform},
		RepairPreempt:  {RepairPreempt, RepairReform},
		RepairDissolve: {RepairDissolve},
	}[f.action]
	for _, w := range order {
		if e, open := c.Find(w); open {
			return e
		}
	}
	e, _ := c.Find(RepairWait)
	return e
}

// SparesToKeep returns the wanted number for RepairSpare and 0 for all others.
func (f Fixed) SparesToKeep(s SpareCase) (held, idle int) {
	if f.action == RepairSpare {
		return s.Wanted, 0
	}
	return 0, 0
}

// Preempt returns true for RepairPreempt.
func (f Fixed) Preempt(_, _ float64) bool {
	return f.action == RepairPreempt
}

// Replace returns true for leaving members if the policy keeps spares.
func (f Fixed) Replace(s Replacement) bool {
	return s.Leaving && f.action == RepairSpare
}

// PolicyByName returns the policy with a name; ok is false for an unknown name.
func PolicyByName(name string) (p Policy, ok bool) {
	for _, known := range Policies() {
		if known.Name() == name {
			return known, true
		}
	}
	return nil, false
}

// Policies returns all policies, the default one first.
func Policies() []Policy {
	return []Policy{
		NewCheapest(),
		NewFixed(RepairSpare),
		NewFixed(RepairReform),
		NewFixed(RepairPreempt),
		NewFixed(RepairWait),
		NewFixed(RepairDissolve),
	}
}

func seconds(m sardine.Millis) float64 {
	return float64(m) / float64(sardine.Second)
}
