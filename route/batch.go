package route

import (
	"math"

	sardine "sardineswitch.dev/sardine"
)

// Engine describes how a deployment's engines run their batches.
type Engine struct {
	Slots        int     // maximum number of requests in one batch
	PrefillPer1K float64 // milliseconds to prefill 1,000 prompt tokens
}

// SetEngine sets how a deployment's engines run their batches. Without it, or
// with a value that is not positive, the batch policy compares request counts
// only.
func (r *Router) SetEngine(name sardine.ServiceName, e Engine) {
	if e.Slots <= 0 || e.PrefillPer1K <= 0 {
		delete(r.engines, name)
		return
	}
	r.engines[name] = e
}

const (
	// prefillDecay is the time constant in milliseconds with which prefill
	// work sent to a target decays to 1/e. It spans several engine iterations, so
	// that a node's requests to one target do not fall into the same iteration.
	prefillDecay = 1000.0
	// fullWeight is the cost of a full batch, in mean prompts to prefill. An
	// engine iteration takes little longer for each request that it decodes, but a
	// request that finds no free slot in the batch has to wait for one.
	fullWeight = 2.0
	// waitWeight is the cost of each request that waits for a slot, in mean
	// prompts to prefill.
	waitWeight = 1.0
)

// batchLoad returns the cost of a target under the batch policy; lower is
// better.
//
// An engine prefills all prompts that arrived during one iteration in the
// next one, between the tokens of its streams, so prompts that arrive together
// delay each other and every stream on that engine. A node therefore spreads
// its prefill work evenly over the engines and over time, and avoids engines
// whose batch is full. It does not compare the request counts alone: all
// nodes would send their requests to a group that has just formed, whose
// first iteration would then take many times as long.
func (r *Router) batchLoad(now sardine.Millis, s *service, t *target) float64 {
	engine, known := r.engines[t.candidate.Service]
	if !known {
		return r.countLoad(t)
	}
	meanPrefillTime := s.meanPrefill / 1000 * engine.PrefillPer1K
	requests := t.requests()
	utilization := requests / float64(engine.Slots)
	waiting := max(requests+1-float64(engine.Slots), 0)
	return t.prefillLoad(now) + meanPrefillTime*(fullWeight*utilization*utilization+waitWeight*waiting)
}

// chooseBatch applies the batch policy.
func (r *Router) chooseBatch(now sardine.Millis, s *service, q Request) Choice {
	engine, known := r.engines[q.Service]
	saturated := known && s.saturated(now, r.utilization(engine))
	var t *target
	if known && r.nodes > herdLimit {
		t = r.weightedRandom(now, s, engine)
	} else {
		r.subsample()
		t = r.leastBy(func(t *target) float64 { return r.batchLoad(now, s, t) })
	}
	c := r.newChoice(now, s, q, t, noRank)
	c.Saturated = saturated
	return c
}

// utilization returns the requests at the usable targets over their batch
// slots.
func (r *Router) utilization(e Engine) float64 {
	requests := 0.0
	for _, t := range r.usable {
		requests += t.requests()
	}
	return requests / (float64(e.Slots) * float64(len(r.usable)))
}

// saturatedAfter is how long a service's targets must have had more requests
// than slots to count as saturated rather than as under a burst: longer than
// a batch takes to turn over.
const saturatedAfter = 1500 * sardine.Millis(1)

// saturated reports whether requests have been waiting at the service's
// targets for longer than a burst.
func (s *service) saturated(now sardine.Millis, utilization float64) bool {
	if utilization < 1 || s.unsaturatedAt == 0 {
		s.unsaturatedAt = now
	}
	return now-s.unsaturatedAt >= saturatedAfter
}

// countLoad returns the cost of a target by its number of requests. All entry
// nodes hold the same, slightly outdated report of each other's requests, so
// by the plain sum they would all choose the same target until the next
// report. The other nodes' requests therefore count as those of one average
// node.
func (r *Router) countLoad(t *target) float64 {
	others := max(t.requests()-float64(t.inFlight), 0) / float64(max(r.nodes-1, 1))
	return float64(t.inFlight) + others + 1
}

// prefillLoad returns the prefill work in milliseconds that this node
// recently sent to the target, decayed by its age.
func (t *target) prefillLoad(now sardine.Millis) float64 {
	return t.recentPrefill * math.Exp(-float64(max(now-t.recentPrefillAt, 0))/prefillDecay)
}

// addPrefill adds the prefill work of a request that is sent to the target.
func (r *Router) addPrefill(now sardine.Millis, c *Choice) {
	engine, known := r.engines[c.request.Service]
	if !known {
		return
	}
	t := c.target
	t.recentPrefill = t.prefillLoad(now) + c.uncached/1000*engine.PrefillPer1K
	t.recentPrefillAt = now
	s := r.services[c.request.Service]
	if s != nil {
		s.meanPrefill += hitGain * (c.uncached - s.meanPrefill)
	}
}

// lateShare is the share of the engines' time that all nodes together spend
// on prefilling requests that have already missed their objective.
const lateShare = 0.25

// LateInterval returns the minimum interval in milliseconds between two
// dispatches by this node of requests that have already missed their
// objective, so that their prefill does not delay requests that can still
// meet theirs. It is 0 for services whose engines are not known.
func (r *Router) LateInterval(name sardine.ServiceName) float64 {
	engine, known := r.engines[name]
	s := r.services[name]
	if !known || s == nil {
		return 0
	}
	meanPrefillTime := s.meanPrefill / 1000 * engine.PrefillPer1K
	return meanPrefillTime * float64(max(r.nodes, 1)) / (float64(max(len(s.targets), 1)) * lateShare)
}

// initPrefillLoad starts a new target at the mean prefill load of the others
// plus a random amount. Without it the new target would be the least loaded
// one for all nodes at the same time.
func (r *Router) initPrefillLoad(now sardine.Millis, s *service, t *target) {
	sum, count := 0.0, 0
	for _, other := range s.targets {
		if other != t {
			sum += other.prefillLoad(now)
			count++
		}
	}
	if count == 0 {
		return
	}
	meanPrefillTime := s.meanPrefill / 1000 * r.engines[t.candidate.Service].PrefillPer1K
	t.recentPrefill = sum/float64(count) + 2*fullWeight*meanPrefillTime*r.random.Float64()
	t.recentPrefillAt = now
}
