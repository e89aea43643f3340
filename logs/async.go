package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of an Async writer.
const (
	// asyncQueueLines is the number of lines that may wait for a blocked writer.
	asyncQueueLines = 2048
	// asyncLinesPerSecond is the highest rate of lines. At about 300 bytes a line it is
	// well below what the disk or log collector of a small VM can handle.
	asyncLinesPerSecond = 500
	// asyncFlushTimeout is the longest time that Close waits for queued lines.
	asyncFlushTimeout = 500 * time.Millisecond
)

// Async writes lines to a writer in the background, without ever blocking the caller.
// Lines beyond its queue or rate are dropped and counted. The count is written as a
// line of its own, at most once a second, before the next line.
type Async struct {
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	second     int64 // Unix time to which written refers
	written    int   // lines accepted in that second
	unreported int   // dropped lines that no line has reported yet
	dropped    int   // dropped lines since the start
	closed     bool
	now        func() time.Time
}

// NewAsync returns a writer that writes lines to w in the background until it is
// closed.
func NewAsync(w io.Writer) *Async {
	a := newAsync(time.Now)
	go a.run(w)
	return a
}

func newAsync(now func() time.Time) *Async {
	return &Async{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), now: now}
}

// Write queues one line. It never blocks and never fails; lines after Close are
// discarded.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return len(line), nil
	}
	a.startSecond()
	if a.written >= asyncLinesPerSecond || !a.enqueue(append([]byte(nil), line...)) {
		a.unreported++
		a.dropped++
		return len(line), nil
	}
	a.written++
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start, without those after
// Close.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// startSecond resets the rate limit if a new second has begun, and queues a line with
// the number of lines dropped before. The lock must be held.
func (a *Async) startSecond() {
	second := a.now().Unix()
	if second == a.second {
		return
	}
	a.second = second
	a.written = 0
	if a.unreported > 0 && a.enqueue(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"lines\":%d}\n", a.unreported)) {
		a.unreported = 0
	}
}

// enqueue queues a line and returns false if the queue is full.
func (a *Async) enqueue(line []byte) bool {
	select {
	case a.lines <- line:
		return true
	default:
		return false
	}
}

// run writes queued lines until the queue is closed.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		_, _ = w.Write(line) // there is no other place to report the error
	}
}

// Close waits until the queued lines are written, at most for asyncFlushTimeout.
func (a *Async) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(asyncFlushTimeout):
	}
	return nil
}
