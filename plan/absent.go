package plan

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

const (
	// assumedAbsence is the part of the time for which a group is expected to wait
	// for any one of its members, until enough has been seen.
	assumedAbsence = 0.0125
	// assumedTime is how much member time the assumption counts like at first.
	assumedTime = 10 * 60 * sardine.Second
	// absenceMemory is the time after which what was seen counts 1/e.
	absenceMemory = 10 * 60 * sardine.Second
)

// absences learns for what part of the time groups wait for a member. It counts
// groups that have served: how long a new one takes to form tells nothing of that.
type absences struct {
	at     sardine.Millis // of the last look, 0 before the first
	member float64        // milliseconds of all members of the groups
	down   float64        // milliseconds for which the groups did not serve
}

// newAbsences returns one that holds the assumption only.
func newAbsences() absences {
	return absences{member: float64(assumedTime), down: assumedAbsence * float64(assumedTime)}
}

// look takes the groups as they have been since the last look.
func (a *absences) look(now sardine.Millis, groups []*groupView) {
	since := float64(now - a.at)
	if a.at == 0 {
		since = 0
	}
	a.at = now
	faded := math.Exp(-since / float64(absenceMemory))
	a.member *= faded
	a.down *= faded
	for _, g := range groups {
		if g.spare || g.kind == nil || !g.kind.byDemand() || !g.note.served {
			continue
		}
		a.member += since * float64(len(g.Members))
		if g.State != sardine.GroupServing {
			a.down += since
		}
	}
}

// share returns the part of the time for which a group waits for one member.
func (a *absences) share() float64 {
	if a.member < float64(sardine.Second) {
		return assumedAbsence // no group has served for long
	}
	return a.down / a.member
}

// learnAbsence tells the deployments by demand how often their groups are whole.
func (r *round) learnAbsence() {
	r.p.absent.look(r.now, r.groups)
	for _, k := range r.kinds {
		k.absence = r.p.absent.share()
	}
}
