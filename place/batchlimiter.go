package place

import (
	"math"
	"sync"

	sardine "sardineswitch.dev/sardine"
)

const (
	// boundInterval is the time between two updates of a bound.
	boundInterval = sardine.Millis(250)
	// boundGain scales the change of a bound per update, for the relative
	// difference between the mean pause and the longest tolerable one.
	boundGain = 0.1
	// idleAfter is the time without an event after which a node is taken to
	// have no streams, so that no caller waits for the next event.
	idleAfter = 2 * sardine.Second
	// idleGain is how much a bound rises per update of an idle node, so that
	// the node does not keep the bound of streams that have ended.
	idleGain = 0.01
	// minBound is the smallest value of a bound, so that some requests are always
	// accepted.
	minBound = 0.2
	// pauseGain is the weight of the newest pause in the moving mean.
	pauseGain = 0.05
	// relaxRate is the relative growth per update of the longest tolerable
	// pause, while no long answer is requested.
	relaxRate = 0.0025
)

// BatchLimiter limits how full the batches of a deployment may be, by the pauses
// between the events of its streams: if a batch generates so slowly that the
// longest answers cannot finish before their callers' timeouts, just these
// answers fail. It is safe for concurrent use.
type BatchLimiter struct {
	mu  sync.Mutex
	all map[sardine.ServiceName]*serviceBatch
}

// serviceBatch is the state of one deployment. A target that is slow for
// another reason sends few events, and so has little effect on the mean.
type serviceBatch struct {
	meanPause float64        // mean time between events in ms, 0 before the first event
	maxPause  float64        // longest pause in ms with which the longest answers finish in time
	lastEvent sardine.Millis // time of the newest event
	bound     float64
	updatedAt sardine.Millis
}

// NewBatchLimiter returns a BatchLimiter without observations.
func NewBatchLimiter() *BatchLimiter {
	return &BatchLimiter{all: make(map[sardine.ServiceName]*serviceBatch)}
}

// service returns the state of a deployment, updated to now. The caller holds
// the lock.
func (p *BatchLimiter) service(now sardine.Millis, s sardine.ServiceName) *serviceBatch {
	sp := p.all[s]
	if sp == nil {
		sp = &serviceBatch{maxPause: math.Inf(1), bound: onTimeShare, updatedAt: now}
		p.all[s] = sp
	}
	for ; sp.updatedAt+boundInterval <= now; sp.updatedAt += boundInterval {
		sp.step()
	}
	return sp
}

func (p *serviceBatch) step() {
	change := idleGain
	if p.meanPause > 0 && p.updatedAt <= p.lastEvent+idleAfter {
		change = boundGain * min(max(1-p.meanPause/p.maxPause, -1), 1)
	}
	p.bound = min(max(p.bound+change, minBound), onTimeShare)
	p.maxPause *= 1 + relaxRate
}

// ObserveRequest records a request for the given number of events on a route with the
// timeout.
func (p *BatchLimiter) ObserveRequest(now sardine.Millis, s sardine.ServiceName, events float64, timeout sardine.Millis) {
	if events < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := p.service(now, s)
	sp.maxPause = min(sp.maxPause, float64(timeout)/events)
}

// ObserveGap records the time between two events of a stream.
func (p *BatchLimiter) ObserveGap(now sardine.Millis, s sardine.ServiceName, pause sardine.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := p.service(now, s)
	if sp.meanPause == 0 {
		sp.meanPause = float64(pause)
	}
	sp.meanPause += pauseGain * (float64(pause) - sp.meanPause)
	sp.lastEvent = now
}

// MeanGap returns the mean time between the events of a deployment's streams in
// milliseconds, 0 before the first one.
func (p *BatchLimiter) MeanGap(s sardine.ServiceName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sp := p.all[s]; sp != nil {
		return sp.meanPause
	}
	return 0
}

// Bound returns the share of a batch up to which fresh requests are accepted.
func (p *BatchLimiter) Bound(now sardine.Millis, s sardine.ServiceName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, s).bound
}
