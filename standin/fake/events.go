package fake

import (
	"container/heap"

	sardine "sardineswitch.dev/sardine"
)

// event is a function that runs at an instant. Events of the same instant run
// in the order in which they were scheduled.
type event struct {
	at       sardine.Millis
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// eventQueue holds the scheduled events.
type eventQueue struct {
	pending  eventHeap
	sequence uint64
}

func (q *eventQueue) add(at sardine.Millis, run func()) {
	q.sequence++
	heap.Push(&q.pending, event{at: at, sequence: q.sequence, run: run})
}

// next returns the instant of the first event, or limit if that is earlier.
func (q *eventQueue) next(limit sardine.Millis) sardine.Millis {
	if len(q.pending) == 0 {
		return limit
	}
	return min(q.pending[0].at, limit)
}

// runDue runs all events up to an instant.
func (q *eventQueue) runDue(now sardine.Millis) {
	for len(q.pending) > 0 && q.pending[0].at <= now {
		e := heap.Pop(&q.pending).(event)
		e.run()
	}
}
