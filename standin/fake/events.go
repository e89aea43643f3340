package fake

import (
	"container/heap"

	sardine "sardineswitch.dev/sardine"
)

// event is something that happens at an instant. Events of one instant happen
// in the order in which they were scheduled.
type event struct {
	at       sardine.Millis
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// agenda is the queue of events.
type agenda struct {
	queue    events
	sequence uint64
}

func (a *agenda) add(at sardine.Millis, run func()) {
	a.sequence++
	heap.Push(&a.queue, event{at: at, sequence: a.sequence, run: run})
}

// next returns the instant of the first event, or limit if that is earlier.
func (a *agenda) next(limit sardine.Millis) sardine.Millis {
	if len(a.queue) == 0 {
		return limit
	}
	return min(a.queue[0].at, limit)
}

// due runs all events up to an instant.
func (a *agenda) due(now sardine.Millis) {
	for len(a.queue) > 0 && a.queue[0].at <= now {
		e := heap.Pop(&a.queue).(event)
		e.run()
	}
}
