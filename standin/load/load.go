// Package load sends requests at a steady rate as callers do, checks every
// answer against what a right one must be, and sums up what it saw.
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
	slots    chan struct{}
}

type settings struct {
	address   string
	service   string
	workspace string
	token     string
	plainPath string
	rate      float64
	length    time.Duration
	open      int
	streams   float64
	tokens    int
	seed      uint64
	timeout   time.Duration
	spread    bool
}

// Option sets a property of a Load.
type Option func(*settings)

// WithTarget sets where requests go (host:port), which service they ask for and
// for which workspace.
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

// WithRate sets the requests begun per second and for how long. The rate does
// not depend on the answers, as that of many callers does not.
func WithRate(perSecond float64, length sardine.Millis) Option {
	return func(s *settings) { s.rate, s.length = perSecond, length.Duration() }
}

// WithMaxInFlight bounds the requests under way; one that finds no room is counted as
// skipped.
func WithMaxInFlight(n int) Option {
	return func(s *settings) { s.open = n }
}

// WithStreamShare sets the share of requests that ask for a stream, 0 to 1.
func WithStreamShare(share float64) Option {
	return func(s *settings) { s.streams = share }
}

// WithTokens sets the tokens of each answer.
func WithTokens(n int) Option {
	return func(s *settings) { s.tokens = n }
}

// WithSeed sets the seed of prompts and kinds.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithTimeout bounds one request.
func WithTimeout(d sardine.Millis) Option {
	return func(s *settings) { s.timeout = d.Duration() }
}

// WithNewConnections opens a connection for each request, so that a balancer
// spreads them.
func WithNewConnections() Option {
	return func(s *settings) { s.spread = true }
}

// New returns a run of 10 requests per second for 10 seconds unless the options
// say otherwise.
func New(options ...Option) *Load {
	s := settings{
		rate: 10, length: 10 * time.Second, open: 1000, streams: 1, tokens: 32, seed: 1, timeout: 60 * time.Second,
	}
	for _, o := range options {
		o(&s)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: s.open, DisableKeepAlives: s.spread}
	return &Load{settings: s, http: &http.Client{Transport: transport}, slots: make(chan struct{}, s.open)}
}

// Run sends the requests and returns once all have ended, or soon after ctx has.
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
		stream := random.Float64() < l.settings.streams
		select {
		case <-ctx.Done():
			return result.end(&wait)
		case <-end:
			return result.end(&wait)
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

// name is a text that no other request of any run has.
func (l *Load) name(i int) string {
	return fmt.Sprintf("cue %d of run %d", i, l.settings.seed)
}
