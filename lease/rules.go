package lease

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// DefaultServing is the length of a serving lease. When a leader fails without
	// closing its connections, a node's newest grant may be two polls old, and the node
	// needs a poll's timeout and two probes to find the next leader. The lease is longer
	// than the sum of these.
	DefaultServing = sardine.Millis(3500)
	// DefaultHolding is the length of the lease under which an entry node that is cut off
	// from the control nodes goes on serving teams with the cut policy hold_changes.
	DefaultHolding = 15 * 60 * sardine.Second
	// DriftDivisor bounds the drift between two clocks: at most one part in
	// DriftDivisor of the elapsed time.
	DriftDivisor = 100
	// DriftMargin is added to the drift to cover the rounding of instants.
	DriftMargin = sardine.Millis(20)
	// removalRetryAfter is after how long a node that is being removed may ask again
	// to join.
	removalRetryAfter = sardine.Millis(100)
)

// AddDrift returns how long the ledger must count a lease of length d, including the
// allowance for clock drift.
func AddDrift(d sardine.Millis) sardine.Millis {
	return d + (d+DriftDivisor-1)/DriftDivisor + DriftMargin
}

// Option sets a property of a Ledger.
type Option func(*Ledger)

// WithServing sets the length of the serving lease. It must be the same on all control
// nodes of a site.
func WithServing(d sardine.Millis) Option {
	return func(l *Ledger) { l.serving = d }
}

// WithHolding sets the length of the holding lease. It must be the same on all control
// nodes of a site.
func WithHolding(d sardine.Millis) Option {
	return func(l *Ledger) { l.holding = d }
}

// Defect is a fault that a test injects to show that its checks detect it.
type Defect uint8

// The defects.
const (
	DefectNone         Defect = iota
	DefectTrustNew            // a new leader assumes that no node holds a lease
	DefectNoFloor             // a node whose lease expired may serve again without catching up
	DefectEarlyReplace        // a new incarnation does not wait for the old one's lease
)

// WithDefect injects a defect. For tests only.
func WithDefect(d Defect) Option {
	return func(l *Ledger) { l.defect = d }
}
