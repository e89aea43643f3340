package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"sardineswitch.dev/sardine/standin/site"
)

const (
	loadCallers = 8
	loadTokens  = 20
	loadPause   = 10 * time.Millisecond
)

// tally counts what callers got.
type tally struct {
	Right   int `json:"right"`
	Wrong   int `json:"wrong"`    // whole, but not the answer to this request
	NotRun  int `json:"not_run"`  // refused, and surely not run
	Broken  int `json:"broken"`   // ended with an error after it began, or ran with unknown outcome
	FirstMS int `json:"first_ms"` // median time to first token
}

// load is callers that chat all the time in the background.
type load struct {
	mu      sync.Mutex
	tally   tally
	firsts  []time.Duration
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startLoad starts callers against the balancer.
func startLoad(s *site.Site) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i := range loadCallers {
		l.running.Go(func() { l.run(ctx, s, i) })
	}
	return l
}

func (l *load) run(ctx context.Context, s *site.Site, number int) {
	c := newCaller()
	for n := 0; ctx.Err() == nil; n++ {
		a, right, err := c.chat(context.WithoutCancel(ctx), s.Balancer(), fmt.Sprintf("line %d of caller %d", n, number), loadTokens)
		l.count(a, right, err)
		time.Sleep(loadPause)
	}
}

func (l *load) count(a answer, right bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case right:
		l.tally.Right++
		l.firsts = append(l.firsts, a.first)
	case a.whole:
		l.tally.Wrong++
	case err == nil && a.status >= http.StatusBadRequest && a.ran == "no":
		l.tally.NotRun++
	default:
		l.tally.Broken++
	}
}

// now returns the counts so far.
func (l *load) now() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tally
	if len(l.firsts) > 0 {
		sorted := slices.Clone(l.firsts)
		slices.Sort(sorted)
		t.FirstMS = int(sorted[len(sorted)/2].Milliseconds())
	}
	return t
}

// stop ends the callers after their current request and returns the counts.
func (l *load) stop() tally {
	l.cancel()
	l.running.Wait()
	return l.now()
}
