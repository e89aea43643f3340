package route

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Weights of the newest observation in moving averages.
const (
	speedGain = 0.05
	hitGain   = 0.02
	tokenGain = 0.01
	lagGain   = 0.3
)

// minReportRunning is the number of running requests from which a reported
// token rate is meaningful.
const minReportRunning = 4

// queueHalfAge is the age of a load report in milliseconds at which its queue
// length counts half.
const queueHalfAge = 200.0

// Bounds of a target's learned slowness, relative to its service.
const (
	minSlowness = 0.25
	maxSlowness = 50
)

// target is the router's state of one candidate.
type target struct {
	candidate        Candidate
	hash             uint64
	roundTrip        float64 // milliseconds
	inFlight         int     // own requests, exact
	pendingPrefill   float64 // own uncached tokens sent whose first token has not arrived
	load             sardine.Load
	loadAt           sardine.Millis // time of the report
	inFlightAtReport int            // own requests in flight at the time of the report
	slowness         float64        // observed time over expected time
	lag              float64        // time between tokens over the service's usual one, by load reports, at least 1
	outlier          outlier
	recentPrefill    float64        // own prefill work in milliseconds sent recently, decayed
	recentPrefillAt  sardine.Millis // when recentPrefill was last updated
	index            int            // among the service's targets, ordered by hash
	removed          bool
}

func newTarget(c Candidate, o *options) *target {
	return &target{
		candidate: c,
		hash:      c.hash(),
		roundTrip: float64(o.distance(o.ownCentre, c.DataCentre)),
		slowness:  1,
		lag:       1,
	}
}

// accepts reports whether the target is eligible for a new request.
func (t *target) accepts(now sardine.Millis, q Request) bool {
	c := &t.candidate
	switch {
	case c.Leaving, t.removed:
		return false
	case c.LeaseUntil != 0 && now >= c.LeaseUntil:
		return false
	case q.Model != "" && c.Model != q.Model:
		return false
	case q.Version != "" && c.Version != q.Version:
		return false
	}
	for _, e := range q.Exclude {
		if e == c.Ref {
			return false
		}
	}
	return c.Group == "" || !slices.Contains(q.Avoid, c.Group)
}

// requests returns the target's estimated number of requests: the reported
// ones, corrected by what this node has started and ended since.
func (t *target) requests() float64 {
	reported := t.load.Running + t.load.Queued + t.inFlight - t.inFlightAtReport
	return float64(max(reported, t.inFlight))
}

// backlog returns the estimated tokens to prefill before a new request. Own
// requests without a first token are exact. Those of other nodes are
// estimated from the reported queue, which counts less as the report ages:
// the queued requests have their first tokens long before the next report.
func (t *target) backlog(now sardine.Millis, meanPrefill float64) float64 {
	weight := queueHalfAge / (queueHalfAge + float64(max(now-t.loadAt, 0)))
	return max(t.pendingPrefill, weight*float64(t.load.Queued)*meanPrefill)
}

// expected returns the expected milliseconds to first token of a request with
// the given uncached tokens.
func (t *target) expected(now sardine.Millis, s *service, uncached float64) float64 {
	c := s.costs
	tokens := uncached + t.backlog(now, s.meanPrefill)
	work := (c.Base + c.PerToken*tokens) * (1 + c.PerRunning*t.requests())
	return t.roundTrip + work*s.scale*t.slowness*t.lag
}

// work returns the milliseconds that the uncached tokens keep an engine busy.
func (s *service) work(uncached float64) float64 {
	return s.costs.PerToken * uncached * s.scale
}

// report applies a load report. The token rate per running request reveals a
// straggler to nodes that rarely dispatch to it.
func (t *target) report(s *service, at sardine.Millis, l sardine.Load) {
	t.load = l
	t.loadAt = at
	t.inFlightAtReport = t.inFlight
	if l.Running < minReportRunning || l.TokensPerSecond <= 0 {
		return
	}
	rate := l.TokensPerSecond / float64(l.Running)
	if s.tokenRate == 0 {
		s.tokenRate = rate
	}
	s.tokenRate += tokenGain * (rate - s.tokenRate)
	lag := min(max(s.tokenRate/rate, 1), maxSlowness)
	t.lag += lagGain * (lag - t.lag)
}

// observe updates the slowness from an observed time to first token.
func (t *target) observe(observed, expected float64) {
	ratio := observed / max(expected, 1)
	t.slowness += speedGain * (ratio*t.slowness - t.slowness)
	t.slowness = min(max(t.slowness, minSlowness), maxSlowness)
}
