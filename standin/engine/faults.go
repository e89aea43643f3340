package engine

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// PoisonMarker crashes the engine that runs a prompt holding it.
const PoisonMarker = "[[poison]]"

// Faults are the ways in which an engine misbehaves on request. Counts say how
// many of the next answers are affected.
type Faults struct {
	mu           sync.Mutex
	slow         float64 // factor on all generation times
	cutAfter     int     // tokens
	cuts         int
	late         sardine.Millis
	lates        int
	duplicates   int
	wrongIDs     int
	ignoreCancel bool
}

// newFaults returns a well-behaved set.
func newFaults() *Faults {
	return &Faults{slow: 1}
}

// SetSlow multiplies generation times by factor; 1 is normal.
func (f *Faults) SetSlow(factor float64) {
	f.set(func() { f.slow = factor })
}

// CutStreams breaks the connection of the next count answers after some tokens.
func (f *Faults) CutStreams(tokens, count int) {
	f.set(func() { f.cutAfter, f.cuts = tokens, count })
}

// AnswerLate holds the next count answers back for d.
func (f *Faults) AnswerLate(d sardine.Millis, count int) {
	f.set(func() { f.late, f.lates = d, count })
}

// AnswerTwice sends the content of the next count answers twice.
func (f *Faults) AnswerTwice(count int) {
	f.set(func() { f.duplicates = count })
}

// AnswerWrongID gives the next count answers another request's id.
func (f *Faults) AnswerWrongID(count int) {
	f.set(func() { f.wrongIDs = count })
}

// IgnoreCancel makes the engine go on when a caller has gone.
func (f *Faults) IgnoreCancel(on bool) {
	f.set(func() { f.ignoreCancel = on })
}

func (f *Faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// plan is what one answer suffers.
type plan struct {
	slow         float64
	cutAfter     int // tokens, -1 for never
	late         sardine.Millis
	twice        bool
	wrongID      bool
	ignoreCancel bool
}

// next uses up one of each count.
func (f *Faults) next() plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := plan{slow: f.slow, cutAfter: -1, ignoreCancel: f.ignoreCancel}
	if use(&f.cuts) {
		p.cutAfter = f.cutAfter
	}
	if use(&f.lates) {
		p.late = f.late
	}
	p.twice = use(&f.duplicates)
	p.wrongID = use(&f.wrongIDs)
	return p
}

func use(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// slowness returns the factor on generation times.
func (f *Faults) slowness() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}
