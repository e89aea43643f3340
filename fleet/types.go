// Package fleet keeps track of the targets: Home at an entry node, from the
// announcements it hears, and Leader at the control leader, from the reports of
// all homes. Both are deterministic and read no clock.
package fleet

import (
	sardine "sardineswitch.dev/sardine"
)

// Ref names one incarnation of a target.
type Ref struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// Status is a target's newest announcement and how old it is.
type Status struct {
	sardine.Announcement
	Age sardine.Millis // since the home node heard it, 0 if not known
}

// Ref returns the incarnation that the status is about.
func (s Status) Ref() Ref {
	return Ref{VM: s.VM, Incarnation: s.Incarnation}
}

// Report is what one home node tells the control leader: all changes since its
// last acknowledged report, or all its targets if Full.
type Report struct {
	Home        sardine.NodeID
	Incarnation sardine.Incarnation // of the home node
	Sequence    uint64              // rises with each report of the incarnation
	Full        bool                // replaces what the home reported before
	Statuses    []Status
	Lost        []Ref
}

// Ack is the leader's answer to a report.
type Ack struct {
	Sequence uint64
	WantFull bool // the next report must be full
}
