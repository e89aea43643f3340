// Package callup announces a stand-in target to the entry nodes: first through
// the platform's balancer, then to the home node that the answer names.
package callup

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
)

// postTimeout leaves time for the balancer within a target lease when the home
// node accepts connections but does not answer.
const postTimeout = 500 * time.Millisecond

// Caller sends one target's announcements.
type Caller struct {
	balancer string
	interval sardine.Millis
	describe func() sardine.Announcement
	http     *http.Client
	now      chan struct{}
	serial   uint64 // of the last announcement
}

// New returns a caller that announces what describe returns. An empty balancer
// address announces nothing.
func New(balancer string, interval sardine.Millis, describe func() sardine.Announcement) *Caller {
	return &Caller{
		balancer: balancer,
		interval: interval,
		describe: describe,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: postTimeout},
		now:      make(chan struct{}, 1),
	}
}

// Now asks for an announcement at once, after a change.
func (c *Caller) Now() {
	select {
	case c.now <- struct{}{}:
	default:
	}
}

// Run announces until ctx ends. Before each announcement it calls gate, which
// may hold it up.
func (c *Caller) Run(ctx context.Context, gate func(context.Context) error) error {
	defer c.http.CloseIdleConnections()
	home, interval := "", c.interval
	for {
		if err := gate(ctx); err != nil {
			return nil
		}
		home, interval = c.announce(ctx, home, interval)
		select {
		case <-ctx.Done():
			return nil
		case <-c.now:
		case <-time.After(interval.Duration()):
		}
	}
}

// announce tries the home node, then the balancer, and returns where and when
// to announce next.
func (c *Caller) announce(ctx context.Context, home string, interval sardine.Millis) (string, sardine.Millis) {
	if c.balancer == "" {
		return "", interval
	}
	c.serial++
	a := c.describe()
	a.Sequence = c.serial
	text := annc.Encode(a)
	for _, address := range []string{home, c.balancer} {
		if address == "" {
			continue
		}
		answer, err := c.post(ctx, address, text)
		if err != nil {
			continue
		}
		if answer.Home() != "" {
			return answer.Home(), answer.Interval()
		}
		return home, answer.Interval()
	}
	return "", c.interval
}

func (c *Caller) post(ctx context.Context, address string, text []byte) (annc.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+annc.Path, bytes.NewReader(text))
	if err != nil {
		return annc.Answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return annc.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, annc.MaxBytes))
	if err != nil {
		return annc.Answer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return annc.Answer{}, codes.New(codes.AnswerInvalid, "announcement to %s: %s: %s", address, response.Status, body)
	}
	return annc.DecodeAnswer(body)
}
