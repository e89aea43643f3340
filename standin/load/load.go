// Package load is a load generator. It sends requests at a steady rate, compares
// every answer with the expected one, and returns counts and latencies.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// Load is one run. Construct it with New.
type Load struct {
	settings settings
	http     *http.Client
	slots    chan struct{} // holds an element for each request in flight
}

type settings struct {
	address        string
	service        string
	workspace      string
	token          string
	plainPath      string // of a plain service; empty for chat requests
	rate           float64
	length         time.Duration
	maxInFlight    int
	streamShare    float64
	tokens         int
	seed           uint64
	timeout        time.Duration
	newConnections bool
}

// Option sets a property of a Load.
type Option func(*settings)

// WithTarget sets the address (host:port) that requests are sent to, and their
// service and workspace.
func WithTarget(address, service, workspace string) Option {
	return func(s *settings) { s.address, s.service, s.workspace = address, service, workspace }
}

// WithToken sets the caller's token.
func WithToken(token string) Option {
	return func(s *settings) { s.token = token }
}

// WithPlainService sends POSTs with an idempotency key to a path of a plain service
// instead of chat requests.
func WithPlainService(path string) Option {
	return func(s *settings) { s.plainPath = path }
}

// WithRate sets the number of requests started per second, and for how long. As
// with many independent callers, the rate does not depend on the answers.
func WithRate(perSecond float64, length sardine.Millis) Option {
	return func(s *settings) { s.rate, s.length = perSecond, length.Duration() }
}

// WithMaxInFlight limits the number of requests in flight. Requests beyond it are not
// sent and count as skipped.
func WithMaxInFlight(n int) Option {
	return func(s *settings) { s.maxInFlight = n }
}

// WithStreamShare sets the share of chat requests that ask for a stream, 0 to 1.
func WithStreamShare(share float64) Option {
	return func(s *settings) { s.streamShare = share }
}

// WithTokens sets the number of tokens of each answer.
func WithTokens(n int) Option {
	return func(s *settings) { s.tokens = n }
}

// WithSeed sets the seed that determines the prompts and which requests are
// streamed.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithTimeout limits the duration of one request.
func WithTimeout(d sardine.Millis) Option {
	return func(s *settings) { s.timeout = d.Duration() }
}

// WithNewConnections opens a new connection for each request, so that a load
// balancer distributes the requests.
func WithNewConnections() Option {
	return func(s *settings) { s.newConnections = true }
}

// New returns a run of 10 requests per second for 10 seconds unless options
// change that.
func New(options ...Option) *Load {
	s := settings{
		rate: 10, length: 10 * time.Second, maxInFlight: 1000, streamShare: 1, tokens: 32, seed: 1, timeout: 60 * time.Second,
	}
	for _, o := range options {
		o(&s)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: s.maxInFlight, DisableKeepAlives: s.newConnections}
	return &Load{settings: s, http: &http.Client{Transport: transport}, slots: make(chan struct{}, s.maxInFlight)}
}

// Run sends the requests and returns once all of them have ended, or soon after
// ctx is done.
func (l *Load) Run(ctx context.Context) *Result {
	defer l.http.CloseIdleConnections()
	result := newResult(l.settings)
	random := rand.New(rand.NewPCG(l.settings.seed, 0))
	period := time.Duration(float64(time.Second) / l.settings.rate)
	ticks := time.NewTicker(max(period, time.Microsecond))
	defer ticks.Stop()
	end := time.After(l.settings.length)
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		stream := random.Float64() < l.settings.streamShare
		select {
		case <-ctx.Done():
			return result.finish(&wait)
		case <-end:
			return result.finish(&wait)
		case <-ticks.C:
		}
		select {
		case l.slots <- struct{}{}:
		default:
			result.add(outcome{verdict: verdictSkipped})
			continue
		}
		wait.Go(func() {
			defer func() { <-l.slots }()
			result.add(l.send(ctx, i, stream))
		})
	}
}

func (l *Load) send(ctx context.Context, i int, stream bool) outcome {
	ctx, cancel := context.WithTimeout(ctx, l.settings.timeout)
	defer cancel()
	if l.settings.plainPath != "" {
		return l.sendPlain(ctx, i)
	}
	return l.sendChat(ctx, i, stream)
}

// promptText returns a text that is unique to the request among all runs with
// different seeds.
func (l *Load) promptText(i int) string {
	return fmt.Sprintf("cue %d of run %d", i, l.settings.seed)
}
