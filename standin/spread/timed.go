package spread

import (
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
)

// timedActor sums up the processor time of an actor, codecs included. The
// simulation runs on one goroutine, so the wall time of a call is its processor
// time.
type timedActor struct {
	w     *World
	id    sardine.NodeID
	actor drive.Actor[Message]
}

func (t *timedActor) add(start time.Time) {
	t.w.costs[t.id] += time.Since(start)
}

// Start starts the actor.
func (t *timedActor) Start(now sardine.Millis) {
	t.actor.Start(now)
}

// Receive passes a message to the actor.
func (t *timedActor) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	defer t.add(time.Now())
	t.actor.Receive(now, from, m)
}

// Tick runs the actor's Tick.
func (t *timedActor) Tick(now sardine.Millis) {
	defer t.add(time.Now())
	t.actor.Tick(now)
}

// Wake returns when the actor's Tick is due.
func (t *timedActor) Wake() sardine.Millis {
	return t.actor.Wake()
}

// Crash crashes the actor.
func (t *timedActor) Crash() {
	t.actor.Crash()
}
