package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"

	sardine "sardineswitch.dev/sardine"
)

type verdict uint8

const (
	verdictCorrect    verdict = iota + 1 // the complete expected answer
	verdictWrong                         // a complete answer, but not the expected one
	verdictRefused                       // an error answer
	verdictIncomplete                    // no answer, or an incomplete one
	verdictSkipped                       // not sent because too many were in flight
)

// outcome is the result of one request.
type outcome struct {
	verdict verdict
	reason  string
	ran     string          // whether a refused or incomplete request ran; empty if unknown
	first   time.Duration   // to the first token
	gaps    []time.Duration // between tokens
	total   time.Duration
}

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond) // longest latency that the histograms record
	significantDigits = 3
)

// Result holds the counts and latencies of a run. It is complete once Run has
// returned.
type Result struct {
	settings settings
	started  time.Time

	mu       sync.Mutex
	counts   map[verdict]int
	reasons  map[string]int
	unknown  int // refused or incomplete requests that may have run
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	duration time.Duration
}

func newResult(s settings) *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }
	return &Result{
		settings: s, started: time.Now(), counts: map[verdict]int{}, reasons: map[string]int{},
		first: h(), gaps: h(), total: h(),
	}
}

func (r *Result) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[o.verdict]++
	if o.reason != "" {
		r.reasons[o.reason]++
	}
	failed := o.verdict == verdictIncomplete || o.verdict == verdictRefused
	if failed && o.ran != sardine.RanNo.String() {
		r.unknown++
	}
	if o.verdict != verdictCorrect {
		return
	}
	record(r.total, o.total)
	if o.first > 0 {
		record(r.first, o.first)
	}
	for _, gap := range o.gaps {
		record(r.gaps, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // the value is always in range
}

func (r *Result) finish(wait *sync.WaitGroup) *Result {
	wait.Wait()
	r.duration = time.Since(r.started)
	return r
}

// Correct returns the number of complete answers that were as expected.
func (r *Result) Correct() int {
	return r.count(verdictCorrect)
}

// Wrong returns the number of complete answers that were not as expected.
func (r *Result) Wrong() int {
	return r.count(verdictWrong)
}

// Refused returns the number of error answers.
func (r *Result) Refused() int {
	return r.count(verdictRefused)
}

// Incomplete returns the number of requests without an answer or with an incomplete
// one.
func (r *Result) Incomplete() int {
	return r.count(verdictIncomplete)
}

// Skipped returns the number of requests that were not sent.
func (r *Result) Skipped() int {
	return r.count(verdictSkipped)
}

func (r *Result) count(v verdict) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[v]
}

// Percentiles are percentiles of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

// Summary is the JSON form of a result.
type Summary struct {
	Seed          uint64         `json:"seed"`
	Rate          float64        `json:"rate"`
	Seconds       float64        `json:"seconds"`
	Correct       int            `json:"right"`
	Wrong         int            `json:"wrong"`
	Refused       int            `json:"refused"`
	Incomplete    int            `json:"broken"`
	Skipped       int            `json:"skipped"`
	Unknown       int            `json:"outcome_unknown"`
	Reasons       map[string]int `json:"reasons"`
	FirstToken    Percentiles    `json:"first_token"`
	BetweenTokens Percentiles    `json:"between_tokens"`
	Total         Percentiles    `json:"total"`
}

// Summary returns the counts and percentiles.
func (r *Result) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Seed: r.settings.seed, Rate: r.settings.rate, Seconds: r.duration.Seconds(),
		Correct: r.counts[verdictCorrect], Wrong: r.counts[verdictWrong], Refused: r.counts[verdictRefused],
		Incomplete: r.counts[verdictIncomplete], Skipped: r.counts[verdictSkipped], Unknown: r.unknown, Reasons: r.reasons,
		FirstToken: percentiles(r.first), BetweenTokens: percentiles(r.gaps), Total: percentiles(r.total),
	}
}

// Print writes the result as plain text tables.
func (r *Result) Print(out io.Writer) {
	s := r.Summary()
	counts := newTable(out, "requests", "")
	for _, row := range []struct {
		name  string
		count int
	}{
		{"right", s.Correct},
		{"wrong", s.Wrong},
		{"refused", s.Refused},
		{"broken", s.Incomplete},
		{"skipped", s.Skipped},
		{"outcome unknown", s.Unknown},
	} {
		counts.AppendRow(table.Row{row.name, row.count})
	}
	var reasons []string
	for reason := range s.Reasons {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		counts.AppendRow(table.Row{"  " + reason, s.Reasons[reason]})
	}
	counts.Render()
	times := newTable(out, "milliseconds", "count", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		p    Percentiles
	}{{"first token", s.FirstToken}, {"between tokens", s.BetweenTokens}, {"whole answer", s.Total}} {
		times.AppendRow(table.Row{row.name, row.p.Count, row.p.P50, row.p.P95, row.p.P99, row.p.Max})
	}
	_, _ = fmt.Fprintln(out)
	times.Render()
}

func newTable(out io.Writer, header ...string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.Style().Options = table.OptionsNoBordersAndSeparators
	row := table.Row{}
	for _, h := range header {
		row = append(row, h)
	}
	t.AppendHeader(row)
	return t
}
