package drive

import (
	"container/heap"

	sardine "sardineswitch.dev/sardine"
)

// item is something that happens at an instant.
type item struct {
	at    sardine.Millis
	order uint64 // of two at the same instant, the earlier made goes first
	node  *node  // nil for the driver's own
	life  uint64 // of node; a crash ends the life and drops its items
	wake  uint64 // of a timer: dropped when the node has set another
	work  func(now sardine.Millis)
}

// queue is a heap of items by instant.
type queue []*item

// Len returns the number of items.
func (q queue) Len() int { return len(q) }

// Less orders items by instant, then by age.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap exchanges two items.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an item; use add.
func (q *queue) Push(x any) { *q = append(*q, x.(*item)) }

// Pop removes the last item; use next.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

func (q *queue) add(i *item) { heap.Push(q, i) }

func (q *queue) next() *item {
	if q.Len() == 0 {
		return nil
	}
	return heap.Pop(q).(*item)
}
