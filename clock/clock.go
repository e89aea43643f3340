// Package clock implements sardine.Clock: Real reads the machine's monotonic clock,
// Virtual moves only when a test advances it.
package clock

import (
	"sync"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// Real reads the machine's monotonic clock. It is zero at its construction.
type Real struct {
	start time.Time
}

// NewReal returns a clock that is zero now.
func NewReal() *Real {
	return &Real{start: time.Now()}
}

// Now returns the milliseconds since construction.
func (r *Real) Now() sardine.Millis {
	return sardine.MillisOf(time.Since(r.start))
}

// After returns a channel that receives the current instant after d.
func (r *Real) After(d sardine.Millis) <-chan sardine.Millis {
	ch := make(chan sardine.Millis, 1)
	time.AfterFunc(d.Duration(), func() { ch <- r.Now() })
	return ch
}

// Virtual is a clock for tests and measurements. It is safe for concurrent use.
type Virtual struct {
	mu     sync.Mutex
	now    sardine.Millis
	timers []virtualTimer
}

type virtualTimer struct {
	at sardine.Millis
	ch chan sardine.Millis
}

// NewVirtual returns a virtual clock that is set to the instant start.
func NewVirtual(start sardine.Millis) *Virtual {
	return &Virtual{now: start}
}

// Now returns the clock's current instant.
func (v *Virtual) Now() sardine.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After returns a channel that receives the current instant once the clock was
// advanced by d.
func (v *Virtual) After(d sardine.Millis) <-chan sardine.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	ch := make(chan sardine.Millis, 1)
	if d <= 0 {
		ch <- v.now
		return ch
	}
	v.timers = append(v.timers, virtualTimer{at: v.now + d, ch: ch})
	return ch
}

// Advance moves the clock forward by d and fires the timers that are due.
func (v *Virtual) Advance(d sardine.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now += d
	kept := v.timers[:0]
	for _, t := range v.timers {
		if t.at > v.now {
			kept = append(kept, t)
			continue
		}
		t.ch <- v.now
	}
	v.timers = kept
}
