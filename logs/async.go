package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of an Async writer.
const (
	// asyncLines is how many lines may wait for a writer that stands still.
	asyncLines = 2048
	// asyncPerSecond is how many lines are written in one second: at some 300
	// bytes a line it is well below what a small VM's disk or collector takes.
	asyncPerSecond = 500
	// asyncFlush bounds how long Close waits for the last lines.
	asyncFlush = 500 * time.Millisecond
)

// Async passes lines on to a writer without ever making the caller wait. Lines
// beyond its bounds are dropped and counted; the count is written once a second.
type Async struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64 // in which written counts
	written int
	dropped int // not said yet
	lost    int // ever
	closed  bool
	now     func() time.Time
}

// NewAsync returns a writer that passes lines on to w until it is closed.
func NewAsync(w io.Writer) *Async {
	a := newAsync(time.Now)
	go a.run(w)
	return a
}

func newAsync(now func() time.Time) *Async {
	return &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{}), now: now}
}

// Write takes one line. It never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return len(line), nil
	}
	a.turnSecond()
	if a.written >= asyncPerSecond || !a.put(append([]byte(nil), line...)) {
		a.dropped++
		a.lost++
		return len(line), nil
	}
	a.written++
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lost
}

// turnSecond begins a new second, with a line on what the last ones dropped.
func (a *Async) turnSecond() {
	second := a.now().Unix()
	if second == a.second {
		return
	}
	a.second = second
	a.written = 0
	if a.dropped > 0 && a.put(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"lines\":%d}\n", a.dropped)) {
		a.dropped = 0
	}
}

func (a *Async) put(line []byte) bool {
	select {
	case a.lines <- line:
		return true
	default:
		return false
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		_, _ = w.Write(line) // there is nowhere else to tell of it
	}
}

// Close passes the waiting lines on, for a bounded time.
func (a *Async) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(asyncFlush):
	}
	return nil
}
