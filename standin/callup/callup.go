// Package callup announces a stand-in target to the entry nodes: first through
// the platform's load balancer, then to the home node that the answer names.
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

// postTimeout leaves time to use the balancer within a target lease if the home
// node accepts connections but does not answer.
const postTimeout = 500 * time.Millisecond

// Announcer sends the announcements of one target.
type Announcer struct {
	balancer     string
	interval     sardine.Millis
	describe     func() sardine.Announcement
	client       *http.Client
	now          chan struct{}
	lastSequence uint64 // sequence number of the last announcement
}

// New returns an Announcer that announces what describe returns. With an empty
// balancer address it sends nothing.
func New(balancer string, interval sardine.Millis, describe func() sardine.Announcement) *Announcer {
	return &Announcer{
		balancer: balancer,
		interval: interval,
		describe: describe,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: postTimeout},
		now:      make(chan struct{}, 1),
	}
}

// AnnounceNow requests an immediate announcement, for example after a change.
func (c *Announcer) AnnounceNow() {
	select {
	case c.now <- struct{}{}:
	default:
	}
}

// Run announces until ctx ends. Before each announcement it calls waitReady, which
// may block, for example while the target is paused; an error of it ends Run.
func (c *Announcer) Run(ctx context.Context, waitReady func(context.Context) error) error {
	defer c.client.CloseIdleConnections()
	home, interval := "", c.interval
	for {
		if err := waitReady(ctx); err != nil {
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

// announce tries the home node, then the balancer. It returns the home node of
// the next announcement and the time until then. If both fail, the home node is
// empty.
func (c *Announcer) announce(ctx context.Context, home string, interval sardine.Millis) (string, sardine.Millis) {
	if c.balancer == "" {
		return "", interval
	}
	c.lastSequence++
	a := c.describe()
	a.Sequence = c.lastSequence
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

func (c *Announcer) post(ctx context.Context, address string, text []byte) (annc.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+annc.Path, bytes.NewReader(text))
	if err != nil {
		return annc.Answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
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
