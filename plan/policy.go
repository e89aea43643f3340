package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// Way is a way to go on with a group that lacks members.
type Way uint8

// The ways.
const (
	WaySpare    Way = iota + 1 // a loaded spare of the domain takes the place
	WayReform                  // free VMs of the domain, or the VM that came back, take it
	WayTake                    // a less valuable group of the domain gives up its members
	WayWait                    // wait for the member
	WayDissolve                // end the group and lend its members
)

// String returns the name used in explanations and measurements.
func (w Way) String() string {
	names := [...]string{"none", "spare", "reform", "take", "wait", "dissolve"}
	if int(w) < len(names) {
		return names[w]
	}
	return "unknown"
}

// Estimate is what the planner expects of one way.
type Estimate struct {
	Way    Way
	Ready  sardine.Millis  // until the group serves again
	Cost   float64         // weighted by the objective
	Victim sardine.GroupID // WayTake: the group that gives
}

// Case is a group that lacks members, and the ways that are open. WayWait and
// WayDissolve always are.
type Case struct {
	Group     sardine.GroupID
	Objective sardine.Objective
	Value     float64        // of the group
	Down      sardine.Millis // how long the group has not served
	Missing   int            // members
	Ways      []Estimate
}

// Find returns the estimate of a way, if it is open.
func (c Case) Find(w Way) (Estimate, bool) {
	for _, e := range c.Ways {
		if e.Way == w {
			return e, true
		}
	}
	return Estimate{}, false
}

// Stock is a domain in which loaded spares of a deployment may be kept.
type Stock struct {
	Objective sardine.Objective
	Value     float64 // of one of the deployment's groups
	Wanted    int     // spares the operator asks for
	VMs       int     // in the deployment's groups of the domain
	Idle      int     // VMs that no group can use
	Failures  float64 // per VM and second
	LoadTime  sardine.Millis
	Lost      float64 // cost per second of holding back one VM that a group could use
}

// Swap is a serving group that would do better with another member.
type Swap struct {
	Objective sardine.Objective
	Leaving   bool    // the member leaves by itself
	Gain      float64 // over the horizon, weighted by the objective
	Cost      float64 // of the swap, weighted by the objective
}

// Policy decides what the planner may do about a loss. All policies see the same
// estimates. Implementations: Cheapest, and Fixed for the comparisons.
type Policy interface {
	// Name returns the name used in settings and measurements.
	Name() string
	// Repair chooses one of the open ways.
	Repair(Case) Estimate
	// Hold returns how many loaded spares to hold back in a domain, and how many
	// of the VMs that are idle anyway to load.
	Hold(Stock) (held, idle int)
	// Preempt reports whether a group that can't be formed at all may take the
	// members of victims, at a gain and a cost over the horizon.
	Preempt(gain, cost float64) bool
	// Replace reports whether to swap a member of a serving group.
	Replace(Swap) bool
}

// Cheapest is the shipped policy: it takes the way of the lowest expected cost
// under the team's objective.
type Cheapest struct{}

// NewCheapest returns the shipped policy.
func NewCheapest() Cheapest {
	return Cheapest{}
}

// Name returns "cheapest".
func (Cheapest) Name() string {
	return "cheapest"
}

// Repair chooses the way of the lowest cost. Of equal ones the first wins, so
// ways that change less come first.
func (Cheapest) Repair(c Case) Estimate {
	best := c.Ways[0]
	for _, e := range c.Ways[1:] {
		if e.Cost < best.Cost {
			best = e
		}
	}
	return best
}

// Hold loads VMs that are idle anyway, and holds others back only while the
// downtime that a spare saves is worth more than what its VM would do.
func (Cheapest) Hold(s Stock) (held, idle int) {
	saved := s.Failures * float64(s.VMs) * s.Objective.DowntimeWeight * s.Value * seconds(s.LoadTime)
	if saved > s.Lost {
		held = s.Wanted
	}
	return held, max(s.Wanted-held, 0)
}

// Preempt compares gain and cost.
func (Cheapest) Preempt(gain, cost float64) bool {
	return gain > cost
}

// Replace compares gain and cost. A leaving member is always replaced.
func (Cheapest) Replace(s Swap) bool {
	return s.Leaving || s.Gain > s.Cost
}

// Fixed is a policy that always prefers one way.
type Fixed struct {
	way Way
}

// NewFixed returns a policy that always goes one way when it is open. When it is
// not, WaySpare goes on as WayReform, and WayReform and WayTake wait.
func NewFixed(way Way) Fixed {
	return Fixed{way: way}
}

// Name returns the name of the way.
func (f Fixed) Name() string {
	return f.way.String()
}

// Repair chooses the fixed way if it is open.
func (f Fixed) Repair(c Case) Estimate {
	order := map[Way][]Way{
		WaySpare:    {WaySpare, WayReform},
		WayReform:   {WayReform},
		WayTake:     {WayTake, WayReform},
		WayDissolve: {WayDissolve},
	}[f.way]
	for _, w := range order {
		if e, open := c.Find(w); open {
			return e
		}
	}
	e, _ := c.Find(WayWait)
	return e
}

// Hold returns the wanted number for WaySpare and 0 for all others.
func (f Fixed) Hold(s Stock) (held, idle int) {
	if f.way == WaySpare {
		return s.Wanted, 0
	}
	return 0, 0
}

// Preempt is true for WayTake.
func (f Fixed) Preempt(_, _ float64) bool {
	return f.way == WayTake
}

// Replace is true for leaving members if the policy keeps spares.
func (f Fixed) Replace(s Swap) bool {
	return s.Leaving && f.way == WaySpare
}

// PolicyNamed returns the policy of a name; ok is false for an unknown one.
func PolicyNamed(name string) (p Policy, ok bool) {
	for _, known := range Policies() {
		if known.Name() == name {
			return known, true
		}
	}
	return nil, false
}

// Policies returns all policies, the shipped one first.
func Policies() []Policy {
	return []Policy{
		NewCheapest(),
		NewFixed(WaySpare),
		NewFixed(WayReform),
		NewFixed(WayTake),
		NewFixed(WayWait),
		NewFixed(WayDissolve),
	}
}

func seconds(m sardine.Millis) float64 {
	return float64(m) / float64(sardine.Second)
}
