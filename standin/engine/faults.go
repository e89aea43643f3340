package engine

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// PoisonMarker in a prompt crashes the engine that runs the request.
const PoisonMarker = "[[poison]]"

// Faults injects faults into the answers of an engine. The counts are the
// numbers of next answers that are affected.
type Faults struct {
	mu             sync.Mutex
	slow           float64 // factor on all generation times
	cutAfter       int     // tokens that a broken stream still sends
	cutCount       int
	delay          sardine.Millis
	delayCount     int
	duplicateCount int
	wrongIDCount   int
	ignoreCancel   bool
}

// newFaults returns an injector without faults.
func newFaults() *Faults {
	return &Faults{slow: 1}
}

// SetSlowdown multiplies generation times by factor; 1 is normal.
func (f *Faults) SetSlowdown(factor float64) {
	f.set(func() { f.slow = factor })
}

// CutStreams breaks the connections of the next count answers after this
// number of tokens.
func (f *Faults) CutStreams(tokens, count int) {
	f.set(func() { f.cutAfter, f.cutCount = tokens, count })
}

// AnswerLate delays the next count answers by d.
func (f *Faults) AnswerLate(d sardine.Millis, count int) {
	f.set(func() { f.delay, f.delayCount = d, count })
}

// AnswerTwice sends the content of the next count answers twice.
func (f *Faults) AnswerTwice(count int) {
	f.set(func() { f.duplicateCount = count })
}

// AnswerWrongID gives the next count answers another request's id.
func (f *Faults) AnswerWrongID(count int) {
	f.set(func() { f.wrongIDCount = count })
}

// IgnoreCancel sets whether the engine continues a request after its caller has
// disconnected.
func (f *Faults) IgnoreCancel(on bool) {
	f.set(func() { f.ignoreCancel = on })
}

func (f *Faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// answerFaults holds the faults of one answer.
type answerFaults struct {
	slow         float64
	cutAfter     int // tokens, -1 for never
	delay        sardine.Millis
	twice        bool
	wrongID      bool
	ignoreCancel bool
}

// next returns the faults of the next answer and decrements their counts.
func (f *Faults) next() answerFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := answerFaults{slow: f.slow, cutAfter: -1, ignoreCancel: f.ignoreCancel}
	if consume(&f.cutCount) {
		p.cutAfter = f.cutAfter
	}
	if consume(&f.delayCount) {
		p.delay = f.delay
	}
	p.twice = consume(&f.duplicateCount)
	p.wrongID = consume(&f.wrongIDCount)
	return p
}

// consume decrements a count and reports whether it was above 0.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// slowFactor returns the current factor on generation times.
func (f *Faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}
