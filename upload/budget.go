// Package upload reads the bodies of requests into memory and bounds how much of it all
// bodies of a process take together.
package upload

import (
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const (
	// overheadBytes is charged for each request beside its body: its goroutine, its header
	// and its part of the connection.
	overheadBytes = 16 << 10
	// maxWaiting is the number of requests of a class that may wait for memory.
	maxWaiting = 512
	// sweepInterval is the time between two looks for slow bodies while requests wait.
	sweepInterval = 50 * sardine.Millis(1)
	// smallestBudget lets a few requests in, whatever the settings say.
	smallestBudget = 1 << 20
)

// A size class of reservations. Each larger class leaves more of the budget to the
// smaller ones, so that large bodies can't keep out small requests.
type class int

const (
	tiny class = iota
	medium
	large
	classes
)

// mostBytes holds the largest reservation of the classes below large.
var mostBytes = [large]int64{overheadBytes + 16<<10, overheadBytes + 128<<10}

// reservedShare is the part of the budget, as a divisor, that a class leaves to smaller
// ones.
var reservedShare = [classes]int64{medium: 8, large: 4}

func classOf(bytes int64) class {
	for c, most := range mostBytes {
		if bytes <= most {
			return class(c)
		}
	}
	return large
}

// Budget is the memory that the bodies and the long headers of a process share. A body reserves memory before
// it is read. If there is not enough left, it waits; meanwhile unused buffers are collected
// and slow senders are interrupted. It is safe for concurrent use.
type Budget struct {
	clock sardine.Clock
	total int64

	mu               sync.Mutex
	used             int64
	garbage          int64 // bytes of unused buffers that the collector may not have freed
	largeCount       int   // bodies of class large
	queues           [classes][]*waiter
	waiting          int
	queuedBytes      int64 // that the waiting bodies need
	heads            int64 // reserved for headers, a part of used
	refusedHeads     int64 // number of headers without memory
	interruptedBytes int64 // of bodies that were interrupted and are not released yet
	receiving        map[*Body]struct{}
	sweeping         bool
}

// NewBudget returns a budget of so many bytes. It takes a single body of any size while
// no other large one is there.
func NewBudget(clock sardine.Clock, bytes int64) *Budget {
	return &Budget{clock: clock, total: max(bytes, smallestBudget), receiving: make(map[*Body]struct{})}
}

// waiter is a body that waits for memory.
type waiter struct {
	body    *Body
	to      int64
	granted chan struct{} // closed when the body has the memory
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Waiting returns the number of requests that wait for memory.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

// reserve raises the reservation of a body to so many bytes, and waits for that until
// patience has passed or done is closed. Errors carry codes.UploadsFull, or
// codes.SlowRequest for a body whose sender was interrupted.
func (b *Budget) reserve(body *Body, to int64, patience sardine.Millis, done <-chan struct{}) error {
	w, err := b.enqueue(body, to)
	if w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-b.clock.After(patience):
	case <-done:
	}
	if !b.leave(w) {
		return nil // granted meanwhile
	}
	return codes.New(codes.UploadsFull, "no memory for a body of %d bytes within %d ms", to, patience)
}

// enqueue grants the reservation at once, or queues it and returns the waiter.
func (b *Budget) enqueue(body *Body, to int64) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if to <= body.reserved {
		return nil, nil
	}
	if body.interrupted {
		return nil, codes.New(codes.SlowRequest, "the body came too slowly while others waited")
	}
	c := classOf(to)
	if len(b.queues[c]) == 0 && b.fits(body, to) {
		b.grant(body, to)
		return nil, nil
	}
	if len(b.queues[c]) >= maxWaiting {
		return nil, codes.New(codes.UploadsFull, "%d requests wait for memory already", len(b.queues[c]))
	}
	w := &waiter{body: body, to: to, granted: make(chan struct{})}
	b.queues[c] = append(b.queues[c], w)
	b.waiting++
	b.queuedBytes += to - body.reserved
	delete(b.receiving, body) // its sender is not read meanwhile
	if !b.sweeping {
		b.sweeping = true
		go b.sweepLoop()
	}
	return w, nil
}

// fits reports whether the reservation of a body may be raised now.
func (b *Budget) fits(body *Body, to int64) bool {
	c := classOf(to)
	reserved := int64(0)
	if share := reservedShare[c]; share > 0 {
		reserved = b.total / share
	}
	return b.used+b.garbage+to-body.reserved+reserved <= b.total || c == large && b.largeCount == 0 && b.garbage == 0
}

// grant raises the reservation of a body, which is read from now on.
func (b *Budget) grant(body *Body, to int64) {
	if classOf(body.reserved) != large && classOf(to) == large {
		b.largeCount++
	}
	b.used += to - body.reserved
	body.reserved = to
	body.pace.begin(b.clock.Now())
	b.receiving[body] = struct{}{}
}

// leave removes a waiter from its queue. It returns false if the waiter is not there.
func (b *Budget) leave(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := classOf(w.to)
	for i, other := range b.queues[c] {
		if other == w {
			b.dequeue(c, i)
			b.grantWaiting() // those behind it may need less
			return true
		}
	}
	return false
}

// dequeue removes the i-th waiter of a class.
func (b *Budget) dequeue(c class, i int) {
	w := b.queues[c][i]
	b.queues[c] = slices.Delete(b.queues[c], i, i+1)
	b.waiting--
	b.queuedBytes -= w.to - w.body.reserved
}

// grantWaiting grants the reservations that fit, the smallest class first and in order of
// arrival within it.
func (b *Budget) grantWaiting() {
	for c := range classes {
		for len(b.queues[c]) > 0 && b.fits(b.queues[c][0].body, b.queues[c][0].to) {
			w := b.queues[c][0]
			b.dequeue(c, 0)
			b.grant(w.body, w.to)
			close(w.granted)
		}
	}
}

// received records the receipt of bytes.
func (b *Budget) received(body *Body, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body.pace.received(b.clock.Now(), int64(bytes))
}

// discard counts a buffer that a larger one replaces.
func (b *Budget) discard(bytes int64) {
	if classOf(bytes) == tiny {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage += bytes
}

// complete ends the receipt of a body, which keeps so many bytes. It reports whether its
// sender was interrupted at the same moment.
func (b *Budget) complete(body *Body, keeps int64) (interrupted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, body)
	interrupted = body.interrupted
	b.shrink(body, min(keeps, body.reserved))
	return interrupted
}

// release returns the memory of a body.
func (b *Budget) release(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, body)
	b.shrink(body, 0)
}

// shrink lowers the reservation of a body.
func (b *Budget) shrink(body *Body, to int64) {
	if body.interrupted {
		body.interrupted = false
		b.interruptedBytes -= body.reserved
	}
	if classOf(body.reserved) == large && classOf(to) != large {
		b.largeCount--
	}
	b.used -= body.reserved - to
	if classOf(body.reserved) != tiny && to == 0 {
		b.garbage += body.reserved
	}
	body.reserved = to
	b.grantWaiting()
}
