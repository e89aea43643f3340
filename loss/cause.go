package loss

import (
	"slices"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// Cause is why a request was lost, as named in reports.
type Cause string

// The causes.
const (
	RefusedFull      Cause = "full"             // all targets had too many requests
	RefusedNoGroup   Cause = "no_group"         // no target of the service took requests
	RefusedUnready   Cause = "node_unready"     // the node knew no layout, had no lease or drained
	RefusedDeadline  Cause = "no_time_left"     // the time was over before it was sent
	RefusedOther     Cause = "refused"          // for a fault of the request or its key
	LateAtEntry      Cause = "late_at_entry"    // before a target was chosen
	LateOnConnection Cause = "late_to_send"     // until it was written to the target
	LateMoved        Cause = "late_moved"       // an earlier target did not answer in full
	LateInQueue      Cause = "late_in_queue"    // the target had a full batch
	LateByPrefill    Cause = "late_first_piece" // the target had room, its first piece came late
	LateByPause      Cause = "late_by_pause"    // a pause between two pieces was too long
	LeftWaiting      Cause = "left_waiting"     // the caller left before the first piece
	LeftMidway       Cause = "left_midway"      // the caller left within the answer
	CutMidway        Cause = "cut_midway"       // the answer broke off and could not go on
	TargetFailed     Cause = "target_failed"    // the target failed before the first piece
	Unexplained      Cause = "unexplained"
)

// shareOfObjective is the part of an objective from which on one phase explains
// that the whole of it was overrun.
const shareOfObjective = 0.5

// Cause names the cause.
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

func (r Record) lateFirst() Cause {
	most := shareOfObjective * float64(r.objective)
	switch {
	case r.attempts > 1:
		return LateMoved
	case float64(r.picked) > most:
		return LateAtEntry
	case float64(r.sent-r.picked) > most:
		return LateOnConnection
	case r.slots > 0 && r.requests >= r.slots:
		return LateInQueue
	default:
		return LateByPrefill
	}
}

// unready are the codes of a node that takes no requests at all.
var unready = []codes.Code{codes.NoLease, codes.Draining}

func (r Record) failure() Cause {
	switch {
	case r.began:
		return CutMidway
	case r.code == codes.QueueFull || r.code == codes.TargetFull:
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
