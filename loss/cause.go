package loss

import (
	"slices"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// Cause is the reason why a request was lost, as named in reports.
type Cause string

// The causes.
const (
	RefusedFull      Cause = "full"             // all targets had too many requests
	RefusedNoGroup   Cause = "no_group"         // no target of the service took requests
	RefusedUnready   Cause = "node_unready"     // the node had no layout or lease, or was draining
	RefusedDeadline  Cause = "no_time_left"     // its deadline passed before it was sent to a target
	RefusedOther     Cause = "refused"          // any other code, such as for an invalid request or token
	LateAtEntry      Cause = "late_at_entry"    // the time until a target was chosen was too long
	LateOnConnection Cause = "late_to_send"     // sending it to the chosen target took too long
	LateMoved        Cause = "late_moved"       // an earlier target did not answer in full
	LateInQueue      Cause = "late_in_queue"    // the target had no free slot in its batch
	LateByPrefill    Cause = "late_first_piece" // the target had a free slot, but its first piece came late
	LateByPause      Cause = "late_by_pause"    // a pause between two pieces was too long
	LeftWaiting      Cause = "left_waiting"     // the caller left, or its deadline passed, before the first piece
	LeftMidway       Cause = "left_midway"      // the caller left during the answer
	CutMidway        Cause = "cut_midway"       // the answer broke off and was not resumed
	TargetFailed     Cause = "target_failed"    // the target failed before the first piece
	Unexplained      Cause = "unexplained"
)

// decisiveShare is the share of an objective above which a single phase counts as
// the cause of its violation.
const decisiveShare = 0.5

// Cause returns the cause of the loss.
func (r Record) Cause() Cause {
	switch r.event {
	case event.RequestLate:
		return r.lateness()
	case event.RequestLeft:
		if r.began {
			return LeftMidway
		}
		return LeftWaiting
	case event.RequestRefused, event.RequestFailed:
		return r.failure()
	default:
		return Unexplained
	}
}

// lateness returns the cause of a late answer.
func (r Record) lateness() Cause {
	switch {
	case r.first > r.objective:
		return r.lateFirst()
	case r.gap > 0 && r.pause > r.gap && r.attempts > 1:
		return LateMoved
	case r.gap > 0 && r.pause > r.gap:
		return LateByPause
	default:
		return Unexplained
	}
}

// lateFirst returns the cause of a late first piece.
func (r Record) lateFirst() Cause {
	limit := decisiveShare * float64(r.objective)
	switch {
	case r.attempts > 1:
		return LateMoved
	case float64(r.picked) > limit:
		return LateAtEntry
	case float64(r.sent-r.picked) > limit:
		return LateOnConnection
	case r.slots > 0 && r.requests >= r.slots:
		return LateInQueue
	default:
		return LateByPrefill
	}
}

// unready lists the codes of a node that accepts no requests at all.
var unready = []codes.Code{codes.NoLease, codes.Draining}

// failure returns the cause of a refused or failed request.
func (r Record) failure() Cause {
	switch {
	case r.began:
		return CutMidway
	case r.code == codes.QueueFull || r.code == codes.TargetFull || r.code == codes.TargetLimited:
		return RefusedFull
	case r.code == codes.NoTarget || r.code == codes.EpochRefused:
		return RefusedNoGroup
	case slices.Contains(unready, r.code):
		return RefusedUnready
	case r.code == codes.DeadlineTight && r.attempts == 0:
		return RefusedDeadline
	case r.code == codes.DeadlineTight:
		return LeftWaiting
	case r.code == codes.TargetFailed || r.code == codes.StreamBroken || r.code == codes.AnswerInvalid:
		return TargetFailed
	case r.event == event.RequestRefused && r.code != codes.OK:
		return RefusedOther
	default:
		return Unexplained
	}
}
