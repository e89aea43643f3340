package plan

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

const (
	// assumedUnavailability is the expected fraction of time that a group waits
	// for any one of its members, used until enough has been observed.
	assumedUnavailability = 0.0125
	// assumedMemberTime is the initial weight of the assumption, as member
	// time.
	assumedMemberTime = 10 * 60 * sardine.Second
	// unavailabilityDecay is the time after which the weight of an observation
	// has fallen to 1/e.
	unavailabilityDecay = 10 * 60 * sardine.Second
)

// unavailabilityEstimator learns the fraction of time that groups wait for a
// member. It counts only groups that have served, as the time that a new group
// takes to form says nothing about it.
type unavailabilityEstimator struct {
	at         sardine.Millis // of the last observation, 0 before the first
	memberTime float64        // milliseconds, summed over the members of the groups
	downTime   float64        // milliseconds in which the groups did not serve
}

// newUnavailabilityEstimator returns an estimator with only the assumption.
func newUnavailabilityEstimator() unavailabilityEstimator {
	return unavailabilityEstimator{memberTime: float64(assumedMemberTime), downTime: assumedUnavailability * float64(assumedMemberTime)}
}

// observe adds the groups' states as constant since the last observation.
func (a *unavailabilityEstimator) observe(now sardine.Millis, groups []*groupView) {
	since := float64(now - a.at)
	if a.at == 0 {
		since = 0
	}
	a.at = now
	decay := math.Exp(-since / float64(unavailabilityDecay))
	a.memberTime *= decay
	a.downTime *= decay
	for _, g := range groups {
		if g.spare || g.deployment == nil || !g.deployment.byDemand() || !g.record.served {
			continue
		}
		a.memberTime += since * float64(len(g.Members))
		if g.State != sardine.GroupServing {
			a.downTime += since
		}
	}
}

// share returns the fraction of time that a group waits for one member.
func (a *unavailabilityEstimator) share() float64 {
	if a.memberTime < float64(sardine.Second) {
		return assumedUnavailability // no group has served for long
	}
	return a.downTime / a.memberTime
}

// updateUnavailability updates the estimate and sets it for all deployments.
func (r *round) updateUnavailability() {
	r.p.unavailability.observe(r.now, r.groups)
	for _, dv := range r.deployments {
		dv.unavailability = r.p.unavailability.share()
	}
}
