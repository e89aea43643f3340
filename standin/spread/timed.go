package spread

import (
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
)

// timed adds up the processor time that an actor takes, codecs included. The
// simulation runs on one goroutine, so the wall time of a call is that time.
type timed struct {
	w     *World
	id    sardine.NodeID
	inner drive.Actor[Message]
}

func (t *timed) add(start time.Time) {
	t.w.costs[t.id] += time.Since(start)
}

// Start begins a life.
func (t *timed) Start(now sardine.Millis) {
	t.inner.Start(now)
}

// Receive takes a message.
func (t *timed) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	defer t.add(time.Now())
	t.inner.Receive(now, from, m)
}

// Tick lets time pass.
func (t *timed) Tick(now sardine.Millis) {
	defer t.add(time.Now())
	t.inner.Tick(now)
}

// Wake returns when Tick is due.
func (t *timed) Wake() sardine.Millis {
	return t.inner.Wake()
}

// Crash ends a life.
func (t *timed) Crash() {
	t.inner.Crash()
}
