package place

import (
	"math"
	"sync"

	sardine "sardineswitch.dev/sardine"
)

const (
	// paceStep is the time between two changes of a bound.
	paceStep = sardine.Millis(250)
	// paceGain is by how much a bound changes in a step, for each part by which the
	// pauses between events differ from what the longest answers bear.
	paceGain = 0.1
	// paceSilent is after which time without an event a node has no streams, whose
	// callers wait no longer for one.
	paceSilent = 2 * sardine.Second
	// paceUnheard is by how much a bound rises in a step then, so that the node does not
	// keep to the pace of the streams that it had.
	paceUnheard = 0.01
	// paceLeast is the least part of a batch up to which requests are taken.
	paceLeast = 0.2
	// pauseGain is the weight of the newest pause in their mean.
	pauseGain = 0.05
	// relaxEach is by how much of itself the pause that the longest answers bear grows
	// in a step, as long as no such answer is asked for.
	relaxEach = 0.0025
)

// Pace bounds how full the batches of a deployment may be by the pauses between events:
// batches that write so slowly that the longest answers can't end in their callers' time
// starve just these. It is safe for concurrent use.
type Pace struct {
	mu  sync.Mutex
	all map[sardine.ServiceName]*pace
}

// pace is what is known of one deployment. A target that is slow for another reason
// writes few events, and so moves the mean little.
type pace struct {
	pause float64        // mean time between events in ms, 0 before the first one
	bears float64        // that the longest answers bear, in ms
	heard sardine.Millis // when the newest event came
	bound float64
	at    sardine.Millis
}

// NewPace returns one that has seen no event.
func NewPace() *Pace {
	return &Pace{all: make(map[sardine.ServiceName]*pace)}
}

// of returns the pace of a deployment, moved on to the instant. The lock is held.
func (p *Pace) of(now sardine.Millis, s sardine.ServiceName) *pace {
	one := p.all[s]
	if one == nil {
		one = &pace{bears: math.Inf(1), bound: promptShare, at: now}
		p.all[s] = one
	}
	for ; one.at+paceStep <= now; one.at += paceStep {
		one.step()
	}
	return one
}

func (p *pace) step() {
	change := paceUnheard
	if p.pause > 0 && p.at <= p.heard+paceSilent {
		change = paceGain * min(max(1-p.pause/p.bears, -1), 1)
	}
	p.bound = min(max(p.bound+change, paceLeast), promptShare)
	p.bears *= 1 + relaxEach
}

// Asked notes a request of so many events on a route with the timeout.
func (p *Pace) Asked(now sardine.Millis, s sardine.ServiceName, events float64, timeout sardine.Millis) {
	if events < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.of(now, s)
	one.bears = min(one.bears, float64(timeout)/events)
}

// Paused notes the time between two events of a stream.
func (p *Pace) Paused(now sardine.Millis, s sardine.ServiceName, pause sardine.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.of(now, s)
	if one.pause == 0 {
		one.pause = float64(pause)
	}
	one.pause += pauseGain * (float64(pause) - one.pause)
	one.heard = now
}

// Bound returns the part of a batch up to which fresh requests are taken.
func (p *Pace) Bound(now sardine.Millis, s sardine.ServiceName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(now, s).bound
}
