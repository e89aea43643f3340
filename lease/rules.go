package lease

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// Serving is the length of a serving lease. When a leader dies in silence, a
	// node's newest grant may be two polls old, and it takes a poll's timeout
	// and two probes to find the next leader; the lease outlasts both.
	Serving = sardine.Millis(3500)
	// Holding is the length of the lease under which an entry node goes on
	// serving the teams whose cut policy is hold_changes.
	Holding = 15 * 60 * sardine.Second
	// DriftDivisor bounds how far two clocks part: by at most one part in
	// DriftDivisor of the time passed.
	DriftDivisor = 100
	// DriftSlack is added to the bound, for the rounding of instants.
	DriftSlack = sardine.Millis(20)
	// endingPause is when to ask again for a node that is being removed.
	endingPause = sardine.Millis(100)
)

// Allowed returns how long the granting side must count a lease of length d.
func Allowed(d sardine.Millis) sardine.Millis {
	return d + (d+DriftDivisor-1)/DriftDivisor + DriftSlack
}

// Option changes a ledger under construction.
type Option func(*Ledger)

// WithServing sets the length of the serving lease. All control nodes of a site
// must use the same one.
func WithServing(d sardine.Millis) Option {
	return func(l *Ledger) { l.serving = d }
}

// WithHolding sets the length of the holding lease. All control nodes of a site
// must use the same one.
func WithHolding(d sardine.Millis) Option {
	return func(l *Ledger) { l.holding = d }
}

// Defect is a fault that a test plants to show that its checks find it.
type Defect uint8

// The defects.
const (
	DefectNone         Defect = iota
	DefectTrustNew            // a new leader assumes that nobody holds a lease
	DefectNoFloor             // a lapsed node may serve again without catching up
	DefectEarlyReplace        // a new incarnation does not wait for the old one's lease
)

// WithDefect plants a defect. For tests only.
func WithDefect(d Defect) Option {
	return func(l *Ledger) { l.defect = d }
}
