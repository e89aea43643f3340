package plan

import (
	sardine "sardineswitch.dev/sardine"
)

// Limits hold the planner's timeouts, delays and rates.
type Limits struct {
	// LoadsAtOnce is how many VMs the weight store serves concurrently at its
	// full rate.
	LoadsAtOnce int
	// LoadTime is how long the load of one VM takes at that rate.
	LoadTime sardine.Millis
	// StartWindow is the window over which the weight store counts the loads
	// that begin, if it bounds their rate.
	StartWindow sardine.Millis
	// OrderTimeout is how long the sender waits for the answer to an order, on
	// the leader's clock.
	OrderTimeout sardine.Millis
	// Pause is the longest pause of a process, or delay of a message, that the
	// planner tolerates.
	Pause sardine.Millis
	// Drift is the largest relative difference between the rates of two clocks.
	Drift float64
	// Settle is how long after a confirmed order an engine's announcements may
	// still show its previous state.
	Settle sardine.Millis
	// DrainTimeout is how long a group's requests in flight may take to end before its
	// members are released anyway.
	DrainTimeout sardine.Millis
	// MaxAbsence is how long a VM may be absent before the group that owns it
	// releases it.
	MaxAbsence sardine.Millis
	// ExpectedAbsence is the expected absence of a lost VM until the planner has
	// observed VMs that returned.
	ExpectedAbsence sardine.Millis
	// FlapWindow is how long a failure of a VM counts.
	FlapWindow sardine.Millis
	// FlapExclusion is how long a VM that failed twice within the window is excluded.
	// Each further failure doubles it, up to MaxFlapExclusion.
	FlapExclusion    sardine.Millis
	MaxFlapExclusion sardine.Millis
	// SlowRatio is the ratio of a member's step time to the median of its group
	// from which it counts as a straggler.
	SlowRatio float64
	// SlowFor is how long the ratio must hold.
	SlowFor sardine.Millis
	// Horizon is the period over which a benefit is weighed against its cost.
	Horizon sardine.Millis
}

// DefaultLimits returns the limits used unless an option changes them.
func DefaultLimits() Limits {
	return Limits{
		LoadsAtOnce:      8,
		LoadTime:         40 * sardine.Second,
		StartWindow:      5 * sardine.Second,
		OrderTimeout:     2 * sardine.Second,
		Pause:            5 * sardine.Second,
		Drift:            0.01,
		Settle:           2500,
		DrainTimeout:     30 * sardine.Second,
		MaxAbsence:       1800 * sardine.Second,
		ExpectedAbsence:  300 * sardine.Second,
		FlapWindow:       900 * sardine.Second,
		FlapExclusion:    60 * sardine.Second,
		MaxFlapExclusion: 1800 * sardine.Second,
		SlowRatio:        1.5,
		SlowFor:          20 * sardine.Second,
		Horizon:          1200 * sardine.Second,
	}
}

// orderLifetime is the time after which an order that was sent but not
// confirmed can no longer arrive.
func (l Limits) orderLifetime() sardine.Millis {
	return sardine.Millis(float64(l.OrderTimeout)*(1+l.Drift)) + l.Pause
}

// loadDelay returns the expected time until one more VM has loaded after a
// number of other loads.
func (l Limits) loadDelay(before int) sardine.Millis {
	return sardine.Millis(before/max(l.LoadsAtOnce, 1)+1) * l.LoadTime
}

// Option configures a Planner.
type Option func(*Planner)

// WithPolicy sets the repair policy. The default is Cheapest.
func WithPolicy(p Policy) Option {
	return func(pl *Planner) { pl.policy = p }
}

// WithLimits sets the timeouts, delays and rates.
func WithLimits(l Limits) Option {
	return func(pl *Planner) { pl.limits = l }
}

// WithDefect disables a safety rule. Tests use it to show that the invariant
// checks detect the violation.
func WithDefect(d Defect) Option {
	return func(pl *Planner) { pl.defect = d }
}

// Defect names a safety rule that tests can disable.
type Defect uint8

// The defects.
const (
	NoDefect          Defect = iota
	DefectNoFencing          // frees a VM without a confirmed release
	DefectServeEarly         // serves before every member is ready
	DefectKeepServing        // keeps serving with a member missing
	DefectAnyEpoch           // accepts readiness under another epoch
)
