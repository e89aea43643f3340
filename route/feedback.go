package route

import (
	sardine "sardineswitch.dev/sardine"
)

// CachedUnknown means that the engine did not report how much of the prompt
// it had cached.
const CachedUnknown = -1

// DispatchResult describes how a dispatch ended.
type DispatchResult struct {
	Tokens   int  // generated tokens, 0 for plain services
	OK       bool // the target answered in full
	Canceled bool // by the caller or before it was sent, which says nothing about the target
}

// Started records that the request was handed to the transport.
func (r *Router) Started(c *Choice, now sardine.Millis) {
	if c.target == nil || c.started {
		return
	}
	c.started = true
	c.startedAt = now
	c.target.inFlight++
	c.target.pendingPrefill += c.uncached
	r.addPrefill(now, c)
	r.hints.add(c.target, c.request.PrefixHashes)
}

// FirstToken records the first token, or a plain service's answer. cached is the
// number of prompt tokens the engine found in its cache, or CachedUnknown.
func (r *Router) FirstToken(c *Choice, now sardine.Millis, cached int) {
	if !c.started || c.firstToken {
		return
	}
	r.settle(c)
	c.target.outlier.succeeded()
	s := r.services[c.request.Service]
	if s == nil {
		return
	}
	r.learnSpeed(s, c, float64(now-c.startedAt))
	if cached != CachedUnknown {
		r.learnCache(s, c, cached)
	}
}

// settle removes the request's uncached tokens from the target's pending
// prefill.
func (r *Router) settle(c *Choice) {
	c.firstToken = true
	c.target.pendingPrefill = max(c.target.pendingPrefill-c.uncached, 0)
	if c.target.inFlight <= 1 {
		c.target.pendingPrefill = 0
	}
}

func (r *Router) learnSpeed(s *service, c *Choice, observed float64) {
	t := c.target
	work := observed - t.roundTrip
	expected := max(float64(c.Expected)-t.roundTrip, 1)
	t.observe(work, expected)
	s.scale += speedGain * 0.2 * (min(work/expected, 4)*s.scale - s.scale)
	s.scale = min(max(s.scale, 0.05), 100)
}

// learnCache updates the expected cache shares and the reliability of hints
// from the number of cached tokens that the engine reported.
func (r *Router) learnCache(s *service, c *Choice, cached int) {
	q := c.request
	uncached := max(float64(q.PromptTokens-cached), 1)
	s.meanPrefill += hitGain * (uncached - s.meanPrefill)
	if len(q.PrefixHashes) == 0 {
		return
	}
	blocks := min(cached/BlockTokens, len(q.PrefixHashes))
	share := float64(blocks) / float64(len(q.PrefixHashes))
	if c.rank >= 0 || c.hintedBlocks == 0 {
		expectedShare := s.cachedShare(q, c.rank)
		*expectedShare += hitGain * (share - *expectedShare)
	}
	if c.hintedBlocks == 0 {
		return
	}
	right := min(blocks, c.hintedBlocks)
	s.hintShare += hitGain * (float64(right)/float64(c.hintedBlocks) - s.hintShare)
	r.counts.HintBlocks += c.hintedBlocks
	r.counts.HintCorrect += right
}

// Ended records the end of a dispatch. Each started choice ends exactly once.
func (r *Router) Ended(c *Choice, now sardine.Millis, e DispatchResult) {
	if !c.started {
		return
	}
	c.started = false
	t := c.target
	t.inFlight = max(t.inFlight-1, 0)
	if !c.firstToken {
		r.settle(c)
	}
	if e.Canceled {
		return
	}
	if e.OK {
		t.outlier.succeeded()
		return
	}
	s := r.services[c.request.Service]
	if s != nil && t.outlier.failed(now, r.options.maxFailures) && s.mayEject(now, r.options.floor) {
		t.outlier.eject(now, r.options.ejection)
		r.counts.Ejections++
	}
}

// Forgive resets the failures of all targets and ends their ejections.
func (r *Router) Forgive() {
	for _, t := range r.targets {
		t.outlier.succeeded()
	}
}

// ReportLoad records a target's load as reported at the instant at. A report older
// than the recorded one is ignored.
func (r *Router) ReportLoad(at sardine.Millis, ref Ref, l sardine.Load) {
	t := r.targets[ref]
	if t == nil || at < t.loadAt {
		return
	}
	if s := r.services[t.candidate.Service]; s != nil {
		t.report(s, at, l)
	}
}

// ReportCacheEvents applies engines' cache events to the hints.
func (r *Router) ReportCacheEvents(events []CacheEvent) {
	for _, e := range events {
		t := r.targets[e.Target]
		if t == nil {
			continue
		}
		if e.Cleared {
			r.hints.removeTarget(t)
		}
		r.hints.drop(t, e.Evicted)
		r.hints.add(t, e.Stored)
	}
}
