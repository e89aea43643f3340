// Package ring provides bounded queues between goroutines. Each ring has a policy
// for the case that it is full and counts these cases.
package ring

import (
	"context"
	"sync/atomic"
)

// Policy is what a ring does with a new item when it is full.
type Policy uint8

// The policies of a full ring.
const (
	Block      Policy = iota + 1 // the producer waits
	Reject                       // the new item is rejected
	DropOldest                   // the oldest item is dropped
)

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	items   chan T
	policy  Policy
	waited  atomic.Uint64
	refused atomic.Uint64
	dropped atomic.Uint64
}

// New returns a ring of the given capacity, at least 1.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1)), policy: policy}
}

// Push adds an item and reports whether it was added. With Block it waits
// until the ring has a free slot or ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
	}
	switch r.policy {
	case Block:
		return r.wait(ctx, item)
	case DropOldest:
		return r.replace(item)
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel that the consumer reads.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// FullCounts returns how often a producer waited, an item was rejected and an item was
// dropped.
func (r *Ring[T]) FullCounts() (waited, refused, dropped uint64) {
	return r.waited.Load(), r.refused.Load(), r.dropped.Load()
}

func (r *Ring[T]) wait(ctx context.Context, item T) bool {
	r.waited.Add(1)
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// replace drops the oldest items until the new one fits. It retries because several
// producers may race for the freed slot.
func (r *Ring[T]) replace(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}
