package limit

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Weights of the newest interval in the reported demand. The weight grows
// with the number of requests in the interval, or with the expected number if
// that is higher.
const (
	minDemandGain = 0.05
	demandGain    = 0.7
	fullGainCount = 8 // requests in an interval from which its weight is full
)

// initialRequestTokens is the assumed size of a request before any was
// observed.
const initialRequestTokens = 500

// account holds one workspace's limits on one node.
type account struct {
	limit     Rate
	allocated Rate // by the applied grant
	requests  *bucket
	tokens    *bucket
	offered   Rate    // since the last report
	count     float64 // requests since the last report
	wanted    Rate    // demand per second, moving mean
	reported  bool    // the last report contained the workspace
}

// Decision is the result of Take.
type Decision struct {
	Allowed    bool
	RetryAfter sardine.Millis // with jitter, if not allowed
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithEvenShares divides each limit evenly among the entry nodes, for a site
// without an allocator. The limits hold, but nodes with few requests leave their
// shares unused.
func WithEvenShares() Option {
	return func(l *Limiter) { l.reserve = 1 }
}

// Limiter spends the shares allocated to one entry node. It is not safe for
// concurrent use.
type Limiter struct {
	node         sardine.NodeID
	random       sardine.Random
	nodes        int     // number of entry nodes of the site
	reserve      float64 // part of each limit that is divided evenly among the nodes
	accounts     map[sardine.Workspace]*account
	appliedGrant uint64         // number of the applied grant
	grantExpires sardine.Millis // end of the applied grant, 0 if there is none
	lastReport   sardine.Millis
}

// NewLimiter returns a limiter without limits.
func NewLimiter(node sardine.NodeID, random sardine.Random, opts ...Option) *Limiter {
	l := &Limiter{node: node, random: random, nodes: 1, reserve: ReserveShare, accounts: make(map[sardine.Workspace]*account)}
	for _, option := range opts {
		option(l)
	}
	return l
}

// Configure sets the limits from the settings and the number of entry nodes.
// Workspaces that are not named have no limit.
func (l *Limiter) Configure(now sardine.Millis, nodes int, limits map[sardine.Workspace]Rate) {
	resized := l.nodes != max(nodes, 1)
	l.nodes = max(nodes, 1)
	for w := range l.accounts {
		if _, limited := limits[w]; !limited {
			delete(l.accounts, w)
		}
	}
	for w, limit := range limits {
		a := l.accounts[w]
		if a == nil {
			own := l.reserveShare(limit)
			l.accounts[w] = &account{limit: limit, requests: newBucket(now, own.Requests, 1), tokens: newBucket(now, own.Tokens, initialRequestTokens)}
			continue
		}
		if a.limit != limit || resized {
			a.limit = limit
			l.apply(now, a, a.allocated)
		}
	}
}

// reserveShare returns the rate that a node may use without a grant.
func (l *Limiter) reserveShare(limit Rate) Rate {
	return limit.times(l.reserve / float64(l.nodes))
}

// apply sets an account's rates to the sum of its reserve and an allocated
// share.
func (l *Limiter) apply(now sardine.Millis, a *account, allocated Rate) {
	a.allocated = allocated
	total := l.reserveShare(a.limit).plus(allocated)
	a.requests.setRate(now, total.Requests)
	a.tokens.setRate(now, total.Tokens)
}

// Take asks to start a request of about the given tokens, and deducts them if
// it is allowed. At the end of the request call Settle with the difference.
func (l *Limiter) Take(now sardine.Millis, w sardine.Workspace, tokens float64) Decision {
	a := l.accounts[w]
	if a == nil {
		return Decision{Allowed: true}
	}
	l.expire(now)
	a.count++
	a.offered = a.offered.plus(Rate{Requests: 1, Tokens: tokens})
	a.requests.fill(now)
	a.tokens.fill(now)
	a.tokens.observeSize(tokens)
	wait := 0.0
	if a.limit.Requests > 0 && !a.requests.allows(1) {
		wait = a.requests.wait(1)
	}
	if a.limit.Tokens > 0 && !a.tokens.allows(tokens) {
		wait = max(wait, a.tokens.wait(tokens))
	}
	if wait > 0 {
		return Decision{RetryAfter: sardine.Millis(min(wait, 60000)*(0.5+l.random.Float64())) + 1}
	}
	a.requests.take(1)
	a.tokens.take(tokens)
	return Decision{Allowed: true}
}

// Settle corrects the tokens deducted for a request by those it used more
// (positive) or less (negative).
func (l *Limiter) Settle(now sardine.Millis, w sardine.Workspace, more float64) {
	a := l.accounts[w]
	if a == nil {
		return
	}
	a.tokens.fill(now)
	a.tokens.take(more)
	a.offered.Tokens = max(a.offered.Tokens+more, 0)
}

// expire falls back to the reserve once the grant has expired.
func (l *Limiter) expire(now sardine.Millis) {
	if l.grantExpires == 0 || now < l.grantExpires {
		return
	}
	l.grantExpires = 0
	for _, a := range l.accounts {
		l.apply(now, a, Rate{})
	}
}

// Report returns the node's report to the allocator. Call it once per
// ReportInterval. It contains the workspaces with demand and those whose
// demand has just ended.
func (l *Limiter) Report(now sardine.Millis) Report {
	seconds := max(float64(now-l.lastReport)/1000, 0.001)
	l.lastReport = now
	report := Report{Node: l.node, AppliedGrant: l.appliedGrant}
	for w, a := range l.accounts {
		recent := a.offered.times(1 / seconds)
		a.offered = Rate{}
		count := max(a.count, a.wanted.Requests*seconds)
		gain := min(minDemandGain+demandGain*count/fullGainCount, demandGain)
		a.count = 0
		a.wanted = a.wanted.times(1 - gain).plus(recent.times(gain))
		if a.wanted.Requests < 1e-3 {
			a.wanted = Rate{}
		}
		if a.wanted != (Rate{}) || a.reported {
			report.Demands = append(report.Demands, Demand{Workspace: w, Wanted: a.wanted})
		}
		a.reported = a.wanted != (Rate{})
	}
	slices.SortFunc(report.Demands, func(a, b Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return report
}

// ApplyGrant applies a grant that answers a report sent at the time asked. The term
// counts from that time, so that the grant expires on the node before it does
// on the allocator.
func (l *Limiter) ApplyGrant(now, asked sardine.Millis, g Grant) {
	if g.Number <= l.appliedGrant || asked+g.Term <= now {
		return
	}
	l.appliedGrant = g.Number
	l.grantExpires = asked + g.Term
	allocated := make(map[sardine.Workspace]Rate, len(g.Shares))
	for _, s := range g.Shares {
		allocated[s.Workspace] = s.Rate
	}
	for w, a := range l.accounts {
		l.apply(now, a, allocated[w])
	}
}
