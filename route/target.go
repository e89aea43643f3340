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

// reportRunning is the number of running requests from which a reported token
// rate tells something.
const reportRunning = 4

// queueMemory is the age in milliseconds at which a report's word on the queue
// counts half.
const queueMemory = 200.0

// Bounds of a target's learned slowness, relative to its service.
const (
	minSlowness = 0.25
	maxSlowness = 50
)

// target is the router's view of one candidate.
type target struct {
	candidate Candidate
	hash      uint64
	roundTrip float64 // milliseconds
	inFlight  int     // own requests, exact
	prefill   float64 // own uncached tokens sent whose first token is not back
	load      sardine.Load
	loadAt    sardine.Millis // instant of the report
	ownThen   int            // own requests in flight when load was reported
	slowness  float64        // observed time over expected time
	lag       float64        // usual time between tokens over this target's, by its reports
	outlier   outlier
	reading   float64        // own milliseconds of reading given to it lately
	readingAt sardine.Millis // when reading was last brought up to date
	slot      int            // place among the service's targets by hash
	gone      bool
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

// takes reports whether the target may get a new request.
func (t *target) takes(now sardine.Millis, q Request) bool {
	c := &t.candidate
	switch {
	case c.Leaving, t.gone:
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

// requests returns the target's estimated number of requests: those reported,
// corrected by what this node has started and ended since.
func (t *target) requests() float64 {
	reported := t.load.Running + t.load.Queued + t.inFlight - t.ownThen
	return float64(max(reported, t.inFlight))
}

// backlog returns the estimated tokens to prefill before a new request. Own
// unanswered requests are exact. The others' are taken from the report, whose
// word on the queue loses worth as it ages: a queue of first tokens is gone
// long before the next report.
func (t *target) backlog(now sardine.Millis, meanPrefill float64) float64 {
	worth := queueMemory / (queueMemory + float64(max(now-t.loadAt, 0)))
	return max(t.prefill, worth*float64(t.load.Queued)*meanPrefill)
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

// report takes a load report. The rate of tokens for each running request shows
// a straggler to nodes that rarely dispatch to it.
func (t *target) report(s *service, at sardine.Millis, l sardine.Load) {
	t.load = l
	t.loadAt = at
	t.ownThen = t.inFlight
	if l.Running < reportRunning || l.TokensPerSecond <= 0 {
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

// observe learns from an observed time to first token.
func (t *target) observe(observed, expected float64) {
	ratio := observed / max(expected, 1)
	t.slowness += speedGain * (ratio*t.slowness - t.slowness)
	t.slowness = min(max(t.slowness, minSlowness), maxSlowness)
}
