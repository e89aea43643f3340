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

// tally counts the outcomes of callers' requests.
type tally struct {
	Right   int `json:"right"`
	Wrong   int `json:"wrong"`    // complete, but not the answer to this request
	NotRun  int `json:"not_run"`  // refused, certainly without having run
	Broken  int `json:"broken"`   // failed after it began, or with unknown outcome
	FirstMS int `json:"first_ms"` // median time to first token
}

// load runs callers that send chat requests continuously in the background.
type load struct {
	mu          sync.Mutex
	tally       tally
	firstTokens []time.Duration
	cancel      context.CancelFunc
	callers     sync.WaitGroup
}

// startLoad starts callers that send their requests to the load balancer.
func startLoad(s *site.Site) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i := range loadCallers {
		l.callers.Go(func() { l.run(ctx, s, i) })
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
		l.firstTokens = append(l.firstTokens, a.firstToken)
	case a.complete:
		l.tally.Wrong++
	case err == nil && a.status >= http.StatusBadRequest && a.ran == "no":
		l.tally.NotRun++
	default:
		l.tally.Broken++
	}
}

// counts returns the counts so far.
func (l *load) counts() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tally
	if len(l.firstTokens) > 0 {
		sorted := slices.Clone(l.firstTokens)
		slices.Sort(sorted)
		t.FirstMS = int(sorted[len(sorted)/2].Milliseconds())
	}
	return t
}

// stop ends the callers after their current request and returns the counts.
func (l *load) stop() tally {
	l.cancel()
	l.callers.Wait()
	return l.counts()
}
