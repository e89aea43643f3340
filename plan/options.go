package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// Limits hold the times and rates that the planner works with.
type Limits struct {
	// LoadsAtOnce is how many VMs the weight store serves at its full rate.
	LoadsAtOnce int
	// LoadTime is how long one VM's load takes then.
	LoadTime sardine.Millis
	// StartWindow is the time over which the weight store counts the loads that
	// begin, where their rate is bounded.
	StartWindow sardine.Millis
	// OrderTimeout is after which time the shell gives up an order. Counted on
	// the leader's clock.
	OrderTimeout sardine.Millis
	// Pause is the longest pause of a process, or delay of a message, that is
	// allowed for.
	Pause sardine.Millis
	// Drift is the largest relative difference between two clocks.
	Drift float64
	// Settle is how long after a confirmed order an engine's announcements may
	// still show what it held before.
	Settle sardine.Millis
	// Drain is the longest time that a group's requests in flight get to end
	// before its members are taken.
	Drain sardine.Millis
	// Forget is after which time of absence a VM is given up by the group that
	// last owned it.
	Forget sardine.Millis
	// Return is the expected absence of a lost VM, used until the planner has
	// seen some VMs return.
	Return sardine.Millis
	// FlapWindow is how long a VM's failures are remembered.
	FlapWindow sardine.Millis
	// FlapBar is how long a VM that failed twice within the window is not used.
	// Each further failure doubles it, up to FlapBarMost.
	FlapBar     sardine.Millis
	FlapBarMost sardine.Millis
	// SlowRatio is the member's own time for one token, relative to the median
	// of its group, from which it counts as a straggler.
	SlowRatio float64
	// SlowFor is how long the ratio must hold.
	SlowFor sardine.Millis
	// Horizon is over which time a benefit is weighed against its cost.
	Horizon sardine.Millis
}

// DefaultLimits returns the limits used unless an option changes them.
func DefaultLimits() Limits {
	return Limits{
		LoadsAtOnce:  8,
		LoadTime:     40 * sardine.Second,
		StartWindow:  5 * sardine.Second,
		OrderTimeout: 2 * sardine.Second,
		Pause:        5 * sardine.Second,
		Drift:        0.01,
		Settle:       2500,
		Drain:        30 * sardine.Second,
		Forget:       1800 * sardine.Second,
		Return:       300 * sardine.Second,
		FlapWindow:   900 * sardine.Second,
		FlapBar:      60 * sardine.Second,
		FlapBarMost:  1800 * sardine.Second,
		SlowRatio:    1.5,
		SlowFor:      20 * sardine.Second,
		Horizon:      1200 * sardine.Second,
	}
}

// orderLife is the time after which an order that was sent but not confirmed
// can't arrive any more.
func (l Limits) orderLife() sardine.Millis {
	return sardine.Millis(float64(l.OrderTimeout)*(1+l.Drift)) + l.Pause
}

// loadDelay returns the expected time until a further VM has loaded, with a
// number of loads before it.
func (l Limits) loadDelay(before int) sardine.Millis {
	return sardine.Millis(before/max(l.LoadsAtOnce, 1)+1) * l.LoadTime
}

// Option changes a Planner at its construction.
type Option func(*Planner)

// WithPolicy sets the repair policy. The default is Cheapest.
func WithPolicy(p Policy) Option {
	return func(pl *Planner) { pl.policy = p }
}

// WithLimits sets the times and rates.
func WithLimits(l Limits) Option {
	return func(pl *Planner) { pl.limits = l }
}

// WithDefect switches a safety rule off. Tests use it to show that the checks
// find the breach.
func WithDefect(d Defect) Option {
	return func(pl *Planner) { pl.defect = d }
}

// Defect names a safety rule that can be switched off.
type Defect uint8

// The defects.
const (
	NoDefect          Defect = iota
	DefectNoFencing          // frees a VM without a confirmed release
	DefectServeEarly         // serves before every member is ready
	DefectKeepServing        // goes on serving with a member missing
	DefectAnyEpoch           // takes readiness under another epoch
)
