package platform

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord writes to a file, which it replaces.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the start.
func (r *Record) Since() time.Duration {
	return time.Since(r.start)
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Run runs a case with a record at the given path and exits with its result.
func Run(path string, play func(r *Record) (code int, err error)) {
	r, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	code, err := play(r)
	if err != nil {
		r.Printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
	}
	word := map[int]string{Held: "the rule held", Broken: "the rule was broken", NotRun: "the case could not run"}[code]
	r.Printf("trouble %v: %s", Trouble(), word)
	fmt.Println(word)
	os.Exit(code)
}
