package ctlapi

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sardineswitch.dev/sardine/answer"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

const (
	// retryPause is the pause after a round in which no control node was the leader.
	retryPause = 100 * time.Millisecond
	// maxAttempt bounds one call to one node, so that a node that does not reply
	// does not use up the caller's time. It exceeds the 2 s after which a leader has
	// committed or timed out.
	maxAttempt = 3 * time.Second
	// maxSettingsAttempt is the bound for settings, which are sent again: a change
	// that takes longer to be in force is recognised by its id. It exceeds the
	// duration of an election, so that the next attempt finds a new leader.
	maxSettingsAttempt = 1500 * time.Millisecond
)

// Client calls the leading control node. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	scheme      string
	addresses   []string
	knownOnly   bool
	readTimeout time.Duration // timeout of one node's reply to a read, 0 for callTimeout
	callTimeout time.Duration // timeout of one call to one node

	reports *reportRoute

	mu     sync.Mutex
	recall Recall // of calls to the leader
	stubs  map[string]wire.Control
}

// Option sets a property of a Client.
type Option func(*Client)

// WithHTTP sets the HTTP client, which holds the TLS settings and must not follow
// redirects, and the URL scheme. The default is a new client without TLS.
func WithHTTP(c *http.Client, scheme string) Option {
	return func(k *Client) {
		k.http = c
		k.scheme = scheme
	}
}

// WithKnownOnly restricts the client to the given addresses. Otherwise it follows
// redirects to the leader's internal address, which operators do not use.
func WithKnownOnly() Option {
	return func(k *Client) { k.knownOnly = true }
}

// WithReadTimeout sets the timeout of one node's reply to a read. It is for clients that
// must query all nodes in a short time. By default only the bound of any call
// applies.
func WithReadTimeout(d time.Duration) Option {
	return func(k *Client) { k.readTimeout = d }
}

// New returns a client of the control nodes at the addresses, host:port each.
func New(addresses []string, options ...Option) *Client {
	c := &Client{
		http:        &http.Client{Transport: answer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64}, answer.WithEnd())},
		scheme:      "http",
		addresses:   append([]string(nil), addresses...),
		callTimeout: maxAttempt,
		reports:     newReportRoute(),
		stubs:       make(map[string]wire.Control),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Stub returns the RPC client of the control node at address.
func (c *Client) Stub(address string) wire.Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub := c.stubs[address]
	if stub == nil {
		stub = wire.NewControlProtobufClient(c.scheme+"://"+address, c.http)
		c.stubs[address] = stub
	}
	return stub
}

// SetAddresses replaces the addresses of the control nodes.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = append([]string(nil), addresses...)
}

// FetchAddresses queries the node at an address for the addresses of the control nodes.
func (c *Client) FetchAddresses(ctx context.Context, address string) ([]string, error) {
	answer, err := c.Stub(address).Members(ctx, &wire.MembersRequest{Operation: "addresses"})
	if err != nil {
		return nil, err
	}
	var all []string
	for _, m := range answer.GetMembers() {
		all = append(all, m.GetAddress())
	}
	c.reports.setLeader(answer.GetLeader(), all)
	return all, ErrorOf(answer.GetFault())
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Submit proposes a command. An error with code OutcomeUnknown means that the
// command may still be committed; any other means that it was not proposed or
// that the state refused it.
func (c *Client) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.SubmitReply, error) {
	return atLeader(ctx, c, retryNever, func(ctx context.Context, s wire.Control) (*wire.SubmitReply, *wire.Fault, error) {
		r, err := s.Submit(ctx, request)
		return r, r.GetFault(), err
	})
}

// Lend reports a node's demand and returns the shares allocated to it.
func (c *Client) Lend(ctx context.Context, request *wire.LendRequest) (*wire.LendReply, error) {
	return atLeader(ctx, c, retryRead, func(ctx context.Context, s wire.Control) (*wire.LendReply, *wire.Fault, error) {
		r, err := s.Lend(ctx, request)
		return r, r.GetFault(), err
	})
}

// Settings reads or changes settings. A call whose reply was lost, or whose change
// is not in force yet, is sent again until ctx ends: reads change nothing, and a
// change is recognised by its id.
func (c *Client) Settings(ctx context.Context, request *wire.SettingsRequest) (*wire.SettingsReply, error) {
	policy := retryRead
	if request.GetChangeId() != "" {
		policy = retryChange
	}
	var held *wire.SettingsReply
	var heldErr error
	for {
		answer, err := atLeader(ctx, c, policy, func(ctx context.Context, s wire.Control) (*wire.SettingsReply, *wire.Fault, error) {
			ctx, cancel := context.WithTimeout(ctx, maxSettingsAttempt)
			defer cancel()
			r, err := s.Settings(ctx, request)
			return r, r.GetFault(), err
		})
		switch {
		case codes.Is(err, codes.ChangeHeld):
			held, heldErr = answer, err
		case heldErr != nil && ctx.Err() != nil: // ctx ended during the repeated call
			return held, heldErr
		default:
			return answer, err
		}
		if pause(ctx) != nil {
			return held, heldErr
		}
	}
}

// Members lists or changes the control members. Errors are as for Submit. Only a
// list is sent again after a lost reply.
func (c *Client) Members(ctx context.Context, request *wire.MembersRequest) (*wire.MembersReply, error) {
	policy := retryNever
	if request.GetOperation() == "list" {
		policy = retryRead
	}
	return atLeader(ctx, c, policy, func(ctx context.Context, s wire.Control) (*wire.MembersReply, *wire.Fault, error) {
		r, err := s.Members(ctx, request)
		return r, r.GetFault(), err
	})
}

// retryable reports whether err means that nothing was proposed and that another
// control node, or the same one later, may succeed.
func retryable(err error) bool {
	return codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) || codes.Is(err, codes.Draining)
}

func pause(ctx context.Context) error {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// candidates returns the addresses to try: the presumed leader first, those at which
// a call failed last.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recall.Order(c.addresses)
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recall.Succeeded(address)
}

func (c *Client) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recall.Answered(address)
}

// recordFailure records that a call to a node failed and closes all idle
// connections: those to the node may be broken as well, and each would cost
// another attempt. A node to which there was no connection has no idle ones.
func (c *Client) recordFailure(address string, sent bool) {
	c.mu.Lock()
	c.recall.Failed(address)
	c.mu.Unlock()
	if sent {
		c.http.CloseIdleConnections()
	}
}

// followRedirect records the leader that err names.
func (c *Client) followRedirect(err error) {
	var redirect *NotLeaderError
	if !c.knownOnly && errors.As(err, &redirect) {
		c.setLeader(redirect.Leader())
	}
}
