package drive

import (
	"container/heap"

	sardine "sardineswitch.dev/sardine"
)

// event is work that is due at an instant.
type event struct {
	at          sardine.Millis
	sequence    uint64 // orders events at the same instant by creation
	node        *node  // nil if it belongs to no node
	incarnation uint64 // of node; a crash increments it and so drops the node's events
	timerID     uint64 // 0 unless a timer; dropped when the node has set another
	run         func(now sardine.Millis)
}

// queue is a heap of events by instant.
type queue []*event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less orders events by instant, then by creation.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface; use add.
func (q *queue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface; use next.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

func (q *queue) add(e *event) { heap.Push(q, e) }

func (q *queue) next() *event {
	if q.Len() == 0 {
		return nil
	}
	return heap.Pop(q).(*event)
}
