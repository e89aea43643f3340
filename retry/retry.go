// Package retry decides whether a failed dispatch may be retried. Budget does
// no I/O and reads no clock: the caller passes the time and calls it from one
// goroutine.
package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// Reason is why a retry is denied.
type Reason uint8

// The reasons. Allowed is the zero value.
const (
	Allowed         Reason = iota
	NotIdempotent          // not idempotent and may have run
	Exhausted              // the maximum number of attempts is reached
	NodeBudget             // the node's balance is empty
	WorkspaceBudget        // the workspace's balance is empty
)

// String returns the name used in logs.
func (r Reason) String() string {
	names := [...]string{"allowed", "not_twice", "exhausted", "node_budget", "tenant_share"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Decision is the result of MayRetry.
type Decision struct {
	Retry  bool
	After  sardine.Millis // delay before the retry, with jitter
	Reason Reason
}

type options struct {
	ratio        float64 // retries earned by one success
	node         float64 // largest balance of the node
	tenant       float64 // largest balance of one workspace
	attempts     int     // maximum number of dispatches of one request
	firstBackoff sardine.Millis
	maxBackoff   sardine.Millis
	maxTenants   int // maximum number of workspaces remembered
}

// Option configures a Budget.
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

// WithAttempts sets the maximum number of dispatches of one request.
func WithAttempts(attempts int) Option {
	return func(o *options) { o.attempts = attempts }
}

// WithBackoff sets the bound on the delay before the first retry, and the
// longest delay.
func WithBackoff(firstBackoff, maxBackoff sardine.Millis) Option {
	return func(o *options) {
		o.firstBackoff = firstBackoff
		o.maxBackoff = maxBackoff
	}
}

// Budget limits the retries of one entry node. It is not safe for concurrent
// use.
type Budget struct {
	options options
	random  sardine.Random
	node    float64
	tenants map[sardine.Workspace]*balance
}

type balance struct {
	retries  float64
	lastUsed sardine.Millis // time of the last use
}

// New returns a budget with full balances.
func New(random sardine.Random, opts ...Option) *Budget {
	o := options{ratio: 0.08, node: 20, tenant: 5, attempts: 3, firstBackoff: 10, maxBackoff: 500, maxTenants: 10000}
	for _, option := range opts {
		option(&o)
	}
	return &Budget{options: o, random: random, node: o.node, tenants: make(map[sardine.Workspace]*balance)}
}

// Succeeded adds the part of a retry that a success earns to the balances of
// the node and the workspace.
func (b *Budget) Succeeded(now sardine.Millis, w sardine.Workspace) {
	b.node = min(b.node+b.options.ratio, b.options.node)
	t := b.tenant(now, w)
	t.retries = min(t.retries+b.options.ratio, b.options.tenant)
}

// MayRetry decides whether a request may be retried after the given number of
// dispatches, the last of which failed with the outcome ran. An allowed retry
// is deducted from the balances at once.
func (b *Budget) MayRetry(now sardine.Millis, w sardine.Workspace, ran sardine.Ran, idempotent bool, attempts int) Decision {
	t := b.tenant(now, w)
	switch {
	case ran != sardine.RanNo && !idempotent:
		return Decision{Reason: NotIdempotent}
	case attempts >= b.options.attempts:
		return Decision{Reason: Exhausted}
	case b.node < 1:
		return Decision{Reason: NodeBudget}
	case t.retries < 1:
		return Decision{Reason: WorkspaceBudget}
	}
	b.node--
	t.retries--
	return Decision{Retry: true, After: b.backoff(attempts)}
}

// backoff returns a uniformly distributed delay up to a bound that doubles
// with each attempt.
func (b *Budget) backoff(attempts int) sardine.Millis {
	bound := min(b.options.firstBackoff<<min(max(attempts-1, 0), 16), b.options.maxBackoff)
	return sardine.Millis(b.random.IntN(int(bound) + 1))
}

func (b *Budget) tenant(now sardine.Millis, w sardine.Workspace) *balance {
	t := b.tenants[w]
	if t == nil {
		if len(b.tenants) >= b.options.maxTenants {
			b.evictOldest()
		}
		t = &balance{retries: b.options.tenant}
		b.tenants[w] = t
	}
	t.lastUsed = now
	return t
}

// evictOldest removes the workspace that was not used for longest.
func (b *Budget) evictOldest() {
	var oldest sardine.Workspace
	found := false
	for w, t := range b.tenants {
		if !found || t.lastUsed < b.tenants[oldest].lastUsed || (t.lastUsed == b.tenants[oldest].lastUsed && w < oldest) {
			oldest, found = w, true
		}
	}
	delete(b.tenants, oldest)
}

// Balances returns the remaining retries of the node and of a workspace.
func (b *Budget) Balances(w sardine.Workspace) (node, tenant float64) {
	tenant = b.options.tenant
	if t := b.tenants[w]; t != nil {
		tenant = t.retries
	}
	return b.node, tenant
}
