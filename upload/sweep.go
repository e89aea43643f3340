package upload

import (
	"cmp"
	"runtime"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

const (
	// slowestPace is the number of bytes per millisecond that a sender keeps up.
	slowestPace = 64
	// mostLag is how far a sender may fall behind slowestPace.
	mostLag = 500 * sardine.Millis(1)
)

// pace measures how far the sender of a body is behind slowestPace. Bytes ahead of it are
// no credit for a later pause.
type pace struct {
	lag sardine.Millis
	at  sardine.Millis // of the last change
}

// begin starts or resumes the measurement.
func (p *pace) begin(now sardine.Millis) {
	p.at = now
}

func (p *pace) received(now sardine.Millis, bytes int64) {
	p.lag = max(0, p.behind(now)-sardine.Millis(bytes/slowestPace))
	p.at = now
}

// behind returns the time by which the sender is late.
func (p *pace) behind(now sardine.Millis) sardine.Millis {
	return p.lag + now - p.at
}

// sweepLoop frees memory as long as requests wait for it.
func (b *Budget) sweepLoop() {
	for {
		b.collect()
		if !b.sweep() {
			return
		}
		<-b.clock.After(sweepInterval)
	}
}

// sweep interrupts slow senders until the waiting bodies will have enough memory. Those
// with the largest product of reserved bytes and lag go first. It returns false if no body
// waits.
func (b *Budget) sweep() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == 0 {
		b.sweeping = false
		return false
	}
	missing := b.queuedBytes + b.total/reservedShare[large] - (b.total - b.used) - b.interruptedBytes // unused buffers are collected anyway
	if missing <= 0 {
		return true
	}
	now := b.clock.Now()
	var slow []*Body
	for body := range b.receiving {
		if !body.interrupted && body.pace.behind(now) > mostLag {
			slow = append(slow, body)
		}
	}
	cost := func(x *Body) int64 { return x.reserved * int64(x.pace.behind(now)) }
	slices.SortFunc(slow, func(x, y *Body) int { return cmp.Compare(cost(y), cost(x)) })
	for _, body := range slow {
		if missing <= 0 {
			break
		}
		missing -= body.reserved
		body.interrupted = true
		b.interruptedBytes += body.reserved
		body.interrupt()
	}
	return true
}

// collect runs the garbage collector if it may free buffers of bodies, and counts their
// memory as available again.
func (b *Budget) collect() {
	b.mu.Lock()
	garbage := b.garbage
	b.mu.Unlock()
	if garbage == 0 {
		return
	}
	runtime.GC()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage -= garbage
	b.grantWaiting()
}
