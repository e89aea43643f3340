package route

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// Engine tells how a deployment's engines work on their batches.
type Engine struct {
	Slots int     // requests in one batch
	Read  float64 // milliseconds to read 1,000 prompt tokens
}

// SetEngine tells how a deployment's engines work. Without it the batch policy
// goes by requests alone.
func (r *Router) SetEngine(name sardine.ServiceName, e Engine) {
	if e.Slots <= 0 || e.Read <= 0 {
		delete(r.engines, name)
		return
	}
	r.engines[name] = e
}

const (
	// readingMemory is the time in milliseconds after which reading that was given
	// to a target counts 1/e. It spans some passes, so that a node's requests to one
	// target don't meet in the same pass.
	readingMemory = 1000.0
	// fullWeight is how many usual prompts to read a full batch counts like. A pass
	// takes little longer for each request that it writes, but a request that finds
	// no place in the batch waits for one.
	fullWeight = 2.0
	// waitWeight is how many usual prompts each request counts like that waits for a
	// place.
	waitWeight = 1.0
)

// batchLoad returns the value of a target under the batch policy, lower is
// better.
//
// An engine reads all prompts that came during a pass in the next one, between the
// tokens of its streams, so that prompts that come together delay each other and
// every stream there. A node therefore spreads the reading that it gives to the
// engines evenly over time, and avoids those whose batch is full. It does not go
// by the requests at each target alone: all nodes would send theirs to a group
// that has just formed, whose first pass would then take many times as long.
func (r *Router) batchLoad(now sardine.Millis, s *service, t *target) float64 {
	engine, known := r.engines[t.candidate.Service]
	if !known {
		return r.countLoad(t)
	}
	usual := s.meanPrefill / 1000 * engine.Read
	requests := t.requests()
	filled := requests / float64(engine.Slots)
	waiting := max(requests+1-float64(engine.Slots), 0)
	return t.readingNow(now) + usual*(fullWeight*filled*filled+waitWeight*waiting)
}

// batched chooses under the batch policy.
func (r *Router) batched(now sardine.Millis, s *service, q Request) Choice {
	engine, known := r.engines[q.Service]
	standing := known && s.standing(now, r.filled(engine))
	var t *target
	if known && r.nodes > crowdMost {
		t = r.level(now, s, engine)
	} else {
		r.thinOut()
		t = r.least(func(t *target) float64 { return r.batchLoad(now, s, t) })
	}
	c := r.choice(now, s, q, t, noRank)
	c.Standing = standing
	return c
}

// filled returns the part of the usable targets' places that is taken.
func (r *Router) filled(e Engine) float64 {
	requests := 0.0
	for _, t := range r.usable {
		requests += t.requests()
	}
	return requests / (float64(e.Slots) * float64(len(r.usable)))
}

// standingAfter is how long a service's targets must have had more requests than places
// for more than a burst: longer than a batch takes to turn over.
const standingAfter = 1500 * sardine.Millis(1)

// standing reports whether requests have been waiting at the service's targets for long.
func (s *service) standing(now sardine.Millis, filled float64) bool {
	if filled < 1 || s.roomAt == 0 {
		s.roomAt = now
	}
	return now-s.roomAt >= standingAfter
}

// countLoad returns the value of a target by the requests there. Entry nodes hold
// the same word on each other's requests, a moment old, so that by the sum they
// would all choose the same target until the next report. The others' requests
// therefore count as those of one more node.
func (r *Router) countLoad(t *target) float64 {
	others := max(t.requests()-float64(t.inFlight), 0) / float64(max(r.nodes-1, 1))
	return float64(t.inFlight) + others + 1
}

// readingNow returns the reading that was given to the target, by its age.
func (t *target) readingNow(now sardine.Millis) float64 {
	return t.reading * math.Exp(-float64(max(now-t.readingAt, 0))/readingMemory)
}

// giveReading counts the reading of a request that is sent to the target.
func (r *Router) giveReading(now sardine.Millis, c *Choice) {
	engine, known := r.engines[c.request.Service]
	if !known {
		return
	}
	t := c.target
	t.reading = t.readingNow(now) + c.uncached/1000*engine.Read
	t.readingAt = now
	s := r.services[c.request.Service]
	if s != nil {
		s.meanPrefill += hitGain * (c.uncached - s.meanPrefill)
	}
}

// lateShare is the part of the engines' time that all nodes together give to the
// reading of requests that are late already.
const lateShare = 0.25

// LateEvery returns the milliseconds between two requests of this node that are
// late already, so that their reading does not delay those that are in time. It is
// 0 for targets that are no known engines.
func (r *Router) LateEvery(name sardine.ServiceName) float64 {
	engine, known := r.engines[name]
	s := r.services[name]
	if !known || s == nil {
		return 0
	}
	usual := s.meanPrefill / 1000 * engine.Read
	return usual * float64(max(r.nodes, 1)) / (float64(max(len(s.targets), 1)) * lateShare)
}

// startReading lets a target that is new begin as if it had got more than its
// share lately, by a random part: all nodes see it at the same time.
func (r *Router) startReading(now sardine.Millis, s *service, t *target) {
	sum, count := 0.0, 0
	for _, other := range s.targets {
		if other != t {
			sum += other.readingNow(now)
			count++
		}
	}
	if count == 0 {
		return
	}
	usual := s.meanPrefill / 1000 * r.engines[t.candidate.Service].Read
	t.reading = sum/float64(count) + 2*fullWeight*usual*r.random.Float64()
	t.readingAt = now
}
