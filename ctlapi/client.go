package ctlapi

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

const (
	// roundPause is how long the client waits after no control node led.
	roundPause = 100 * time.Millisecond
	// attemptMost bounds one call of one node, so that a node which is cut off in
	// silence does not use up the caller's time. It is longer than a leader takes
	// to commit or give up, 2 s.
	attemptMost = 3 * time.Second
	// settingsMost is the same for settings, which are sent again: a change that
	// waits longer to be in force is recognised by its id. It is longer than an
	// election, so that the next attempt finds a new leader.
	settingsMost = 1500 * time.Millisecond
)

// Client calls the leading control node. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	scheme    string
	addresses []string
	knownOnly bool
	brief     time.Duration // longest call of one node that only reads, 0 for attempt
	attempt   time.Duration // longest call of one node

	mu     sync.Mutex
	leader string // the last address that answered as leader
	broken string // the last address that broke off a call, tried after the others
	passed uint64 // control nodes that failed to take a report, one after the other
	stubs  map[string]wire.Control
}

// Option sets a property of a Client.
type Option func(*Client)

// WithHTTP sets the HTTP client, which carries the TLS settings and must not
// follow redirects. The default is an own client without TLS.
func WithHTTP(c *http.Client, scheme string) Option {
	return func(k *Client) {
		k.http = c
		k.scheme = scheme
	}
}

// WithKnownOnly keeps to the given addresses. A refusal names the leader's
// internal address, which operators do not use.
func WithKnownOnly() Option {
	return func(k *Client) { k.knownOnly = true }
}

// WithBrief bounds the wait for one node to answer a read. It is for clients that
// must hear all nodes in a short time; the default is none.
func WithBrief(d time.Duration) Option {
	return func(k *Client) { k.brief = d }
}

// New returns a client of the control nodes at the addresses, host:port each.
func New(addresses []string, options ...Option) *Client {
	c := &Client{
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		scheme:    "http",
		addresses: append([]string(nil), addresses...),
		attempt:   attemptMost,
		stubs:     make(map[string]wire.Control),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Stub returns the service of the control node at address.
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

// Known returns the addresses of the control nodes, the presumed leader first.
func (c *Client) Known() []string {
	return c.order()
}

// SetAddresses replaces the control nodes to ask.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = append([]string(nil), addresses...)
}

// Addresses asks the node at an address for the control nodes that it knows.
func (c *Client) Addresses(ctx context.Context, address string) ([]string, error) {
	answer, err := c.Stub(address).Members(ctx, &wire.MembersRequest{Operation: "addresses"})
	if err != nil {
		return nil, err
	}
	var all []string
	for _, m := range answer.GetMembers() {
		all = append(all, m.GetAddress())
	}
	return all, ErrorOf(answer.GetFault())
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Submit proposes a command. An error with code OutcomeUnknown means that the
// command may still be committed; any other means that it was not proposed or
// that the state refused it.
func (c *Client) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.SubmitReply, error) {
	return atLeader(ctx, c, repeatNever, func(ctx context.Context, s wire.Control) (*wire.SubmitReply, *wire.Fault, error) {
		r, err := s.Submit(ctx, request)
		return r, r.GetFault(), err
	})
}

// Lend reports a node's demand and returns the shares lent to it.
func (c *Client) Lend(ctx context.Context, request *wire.LendRequest) (*wire.LendReply, error) {
	return atLeader(ctx, c, repeatRead, func(ctx context.Context, s wire.Control) (*wire.LendReply, *wire.Fault, error) {
		r, err := s.Lend(ctx, request)
		return r, r.GetFault(), err
	})
}

// Settings reads or changes settings. A call whose answer was lost, or whose
// change is not in force yet, is sent again until ctx ends: reads change nothing,
// and a change is recognised by its id.
func (c *Client) Settings(ctx context.Context, request *wire.SettingsRequest) (*wire.SettingsReply, error) {
	again := repeatRead
	if request.GetChangeId() != "" {
		again = repeatChange
	}
	var held *wire.SettingsReply
	var heldErr error
	for {
		answer, err := atLeader(ctx, c, again, func(ctx context.Context, s wire.Control) (*wire.SettingsReply, *wire.Fault, error) {
			ctx, cancel := context.WithTimeout(ctx, settingsMost)
			defer cancel()
			r, err := s.Settings(ctx, request)
			return r, r.GetFault(), err
		})
		switch {
		case codes.Is(err, codes.ChangeHeld):
			held, heldErr = answer, err
		case heldErr != nil && ctx.Err() != nil: // the time was over while it was asked again
			return held, heldErr
		default:
			return answer, err
		}
		if pause(ctx) != nil {
			return held, heldErr
		}
	}
}

// Members lists or changes the control members. Errors are as of Submit; a list
// is asked for again.
func (c *Client) Members(ctx context.Context, request *wire.MembersRequest) (*wire.MembersReply, error) {
	again := repeatNever
	if request.GetOperation() == "list" {
		again = repeatRead
	}
	return atLeader(ctx, c, again, func(ctx context.Context, s wire.Control) (*wire.MembersReply, *wire.Fault, error) {
		r, err := s.Members(ctx, request)
		return r, r.GetFault(), err
	})
}

// Witness tells what an entry node sees of targets. It is sent anew soon, so that
// only one control node is asked: each entry node has one of its own, and asks the
// next after a failure.
func (c *Client) Witness(ctx context.Context, request *wire.WitnessRequest) ([]*wire.Crowd, error) {
	answer, err := c.Stub(c.reportAddress(request.GetNode())).Witness(ctx, request)
	if err == nil {
		err = ErrorOf(answer.GetFault())
	}
	if err != nil {
		c.mu.Lock()
		c.passed++
		c.mu.Unlock()
		return nil, err
	}
	return answer.GetCrowds(), nil
}

// reportAddress returns the control node that takes a node's reports.
func (c *Client) reportAddress(node string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[(xxhash.Sum64String(node)+c.passed)%uint64(len(c.addresses))]
}

// elsewhere reports whether a refusal says that nothing was proposed and another
// control node, or the same one soon, may do better.
func elsewhere(err error) bool {
	return codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) || codes.Is(err, codes.Draining)
}

func pause(ctx context.Context) error {
	t := time.NewTimer(roundPause)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// order returns the addresses to try, the presumed leader first and the one that
// broke off last.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := make([]string, 0, len(c.addresses)+1)
	if c.leader != "" {
		order = append(order, c.leader)
	}
	for _, address := range c.addresses {
		if address != c.leader && address != c.broken {
			order = append(order, address)
		}
	}
	if c.broken != "" && c.broken != c.leader {
		order = append(order, c.broken)
	}
	return order
}

func (c *Client) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
	if c.broken == address {
		c.broken = ""
	}
}

// forget notes that a node broke off. Its idle connections may be as dead as the
// one that broke, and each would cost another attempt.
func (c *Client) forget(address string) {
	c.mu.Lock()
	if c.leader == address {
		c.leader = ""
	}
	c.broken = address
	c.mu.Unlock()
	c.http.CloseIdleConnections()
}

// follow takes over the leader that a refusal names.
func (c *Client) follow(refusal error) {
	var elsewhere *NotLeaderError
	if !c.knownOnly && errors.As(refusal, &elsewhere) {
		c.remember(elsewhere.Leader())
	}
}
