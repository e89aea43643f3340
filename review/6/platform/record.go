package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what the stand-ins have seen to a file, one line each.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// seconds returns the time since the start of the record.
func (r *record) seconds() float64 {
	return time.Since(r.start).Seconds()
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
