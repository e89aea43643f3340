// Package fleet tracks the targets: Home does so at an entry node, from the
// announcements that it receives, and Leader at the control leader, from the
// reports of all homes. Both are deterministic and read no clock.
package fleet

import (
	sardine "sardineswitch.dev/sardine"
)

// Ref identifies one incarnation of a target.
type Ref struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// Status is a target's newest announcement and its age.
type Status struct {
	sardine.Announcement
	Age sardine.Millis // since the home received it, 0 if unknown
}

// Ref returns the incarnation of the target that the status describes.
func (s Status) Ref() Ref {
	return Ref{VM: s.VM, Incarnation: s.Incarnation}
}

// Report is what a home sends to the control leader: all changes since its last
// acknowledged report, or all its targets if Full.
type Report struct {
	Home        sardine.NodeID
	Incarnation sardine.Incarnation // of the home node
	Sequence    uint64              // increases with each report of the incarnation
	Full        bool                // replaces all earlier reports of the home
	Statuses    []Status
	Lost        []Ref
}

// Ack is the leader's answer to a report.
type Ack struct {
	Sequence uint64
	WantFull bool // the next report must be full
}
