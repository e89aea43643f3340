// Package retry decides whether a failed dispatch may be sent again. Budget is a
// pure core: the caller gives it the time and calls it from one goroutine.
package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// Reason tells why a retry is not allowed.
type Reason uint8

// The reasons. Allowed is the zero value.
const (
	Allowed     Reason = iota
	NotTwice           // it is not idempotent and may have run
	Exhausted          // the attempts are used up
	NodeBudget         // the node retries too much
	TenantShare        // the workspace retries too much
)

// String returns the name used in logs.
func (r Reason) String() string {
	names := [...]string{"allowed", "not_twice", "exhausted", "node_budget", "tenant_share"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Decision answers MayRetry.
type Decision struct {
	Retry  bool
	After  sardine.Millis // wait before the retry, with jitter
	Reason Reason
}

type options struct {
	ratio    float64 // retries earned by one success
	node     float64 // largest balance of the node
	tenant   float64 // largest balance of one workspace
	attempts int     // dispatches of one request at most
	first    sardine.Millis
	longest  sardine.Millis
	tenants  int // workspaces remembered
}

// Option changes a budget's construction.
type Option func(*options)

// WithRatio sets how many retries a success earns.
func WithRatio(ratio float64) Option {
	return func(o *options) { o.ratio = ratio }
}

// WithBalances sets the largest balances, in retries, of the node and of one
// workspace.
func WithBalances(node, tenant float64) Option {
	return func(o *options) {
		o.node = node
		o.tenant = tenant
	}
}

// WithAttempts sets how often one request is dispatched at most.
func WithAttempts(attempts int) Option {
	return func(o *options) { o.attempts = attempts }
}

// WithBackoff sets the wait before the first retry and the longest wait.
func WithBackoff(first, longest sardine.Millis) Option {
	return func(o *options) {
		o.first = first
		o.longest = longest
	}
}

// Budget bounds the retries of one entry node. It is not safe for concurrent
// use.
type Budget struct {
	options options
	random  sardine.Random
	node    float64
	tenants map[sardine.Workspace]*balance
}

type balance struct {
	retries float64
	at      sardine.Millis // last use
}

// New returns a budget with full balances.
func New(random sardine.Random, opts ...Option) *Budget {
	o := options{ratio: 0.08, node: 20, tenant: 5, attempts: 3, first: 10, longest: 500, tenants: 10000}
	for _, option := range opts {
		option(&o)
	}
	return &Budget{options: o, random: random, node: o.node, tenants: make(map[sardine.Workspace]*balance)}
}

// Succeeded earns a part of a retry for the node and the workspace.
func (b *Budget) Succeeded(now sardine.Millis, w sardine.Workspace) {
	b.node = min(b.node+b.options.ratio, b.options.node)
	t := b.tenant(now, w)
	t.retries = min(t.retries+b.options.ratio, b.options.tenant)
}

// MayRetry decides about a request after its attempts-th dispatch failed with
// the outcome ran. An allowed retry is paid at once.
func (b *Budget) MayRetry(now sardine.Millis, w sardine.Workspace, ran sardine.Ran, idempotent bool, attempts int) Decision {
	t := b.tenant(now, w)
	switch {
	case ran != sardine.RanNo && !idempotent:
		return Decision{Reason: NotTwice}
	case attempts >= b.options.attempts:
		return Decision{Reason: Exhausted}
	case b.node < 1:
		return Decision{Reason: NodeBudget}
	case t.retries < 1:
		return Decision{Reason: TenantShare}
	}
	b.node--
	t.retries--
	return Decision{Retry: true, After: b.backoff(attempts)}
}

// backoff returns a uniform wait up to a bound that doubles with each attempt.
func (b *Budget) backoff(attempts int) sardine.Millis {
	bound := min(b.options.first<<min(max(attempts-1, 0), 16), b.options.longest)
	return sardine.Millis(b.random.IntN(int(bound) + 1))
}

func (b *Budget) tenant(now sardine.Millis, w sardine.Workspace) *balance {
	t := b.tenants[w]
	if t == nil {
		if len(b.tenants) >= b.options.tenants {
			b.forget()
		}
		t = &balance{retries: b.options.tenant}
		b.tenants[w] = t
	}
	t.at = now
	return t
}

// forget drops the workspace that was not used for longest.
func (b *Budget) forget() {
	var oldest sardine.Workspace
	found := false
	for w, t := range b.tenants {
		if !found || t.at < b.tenants[oldest].at || (t.at == b.tenants[oldest].at && w < oldest) {
			oldest, found = w, true
		}
	}
	delete(b.tenants, oldest)
}

// Balances returns the retries left to the node and to a workspace.
func (b *Budget) Balances(w sardine.Workspace) (node, tenant float64) {
	tenant = b.options.tenant
	if t := b.tenants[w]; t != nil {
		tenant = t.retries
	}
	return b.node, tenant
}
