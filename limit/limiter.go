package limit

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Weights of the newest interval in the demand reported: the more requests it
// had, or should have had, the more it tells.
const (
	leastGain  = 0.05
	demandGain = 0.7
	sureCount  = 8 // requests of an interval that have the full weight
)

// usualTokens is a request's size before any was seen.
const usualTokens = 500

// account is one workspace's limits on one node.
type account struct {
	limit    Rate
	lent     Rate // by the grant held
	requests *bucket
	tokens   *bucket
	offered  Rate    // since the last report
	count    float64 // requests since then
	wanted   Rate    // per second, moving mean
	reported bool
}

// Decision answers Take.
type Decision struct {
	Allowed    bool
	RetryAfter sardine.Millis // with jitter, if not allowed
}

// Option changes a limiter's construction.
type Option func(*Limiter)

// WithEvenShares divides each limit evenly among the entry nodes, for a site
// without a lender. Limits hold, but nodes with few requests leave theirs unused.
func WithEvenShares() Option {
	return func(l *Limiter) { l.reserve = 1 }
}

// Limiter spends the shares lent to one entry node. It is not safe for
// concurrent use.
type Limiter struct {
	node     sardine.NodeID
	random   sardine.Random
	nodes    int     // entry nodes of the site
	reserve  float64 // part of each limit that is divided evenly
	accounts map[sardine.Workspace]*account
	holding  uint64
	until    sardine.Millis // end of the grant held
	reported sardine.Millis
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
// Workspaces not named have no limit.
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
			own := l.ownShare(limit)
			l.accounts[w] = &account{limit: limit, requests: newBucket(now, own.Requests, 1), tokens: newBucket(now, own.Tokens, usualTokens)}
			continue
		}
		if a.limit != limit || resized {
			a.limit = limit
			l.apply(now, a, a.lent)
		}
	}
}

// ownShare is what a node may spend without a grant.
func (l *Limiter) ownShare(limit Rate) Rate {
	return limit.times(l.reserve / float64(l.nodes))
}

// apply sets the rates of an account to the own share and a lent one.
func (l *Limiter) apply(now sardine.Millis, a *account, lent Rate) {
	a.lent = lent
	total := l.ownShare(a.limit).plus(lent)
	a.requests.setRate(now, total.Requests)
	a.tokens.setRate(now, total.Tokens)
}

// Take asks for a request of about the given tokens. If allowed, it is paid; at
// its end call Settle with the difference.
func (l *Limiter) Take(now sardine.Millis, w sardine.Workspace, tokens float64) Decision {
	a := l.accounts[w]
	if a == nil {
		return Decision{Allowed: true}
	}
	l.lapse(now)
	a.count++
	a.offered = a.offered.plus(Rate{Requests: 1, Tokens: tokens})
	a.requests.fill(now)
	a.tokens.fill(now)
	a.tokens.observeSize(tokens)
	wait := 0.0
	if a.limit.Requests > 0 && !a.requests.has(1) {
		wait = a.requests.wait(1)
	}
	if a.limit.Tokens > 0 && !a.tokens.has(tokens) {
		wait = max(wait, a.tokens.wait(tokens))
	}
	if wait > 0 {
		return Decision{RetryAfter: sardine.Millis(min(wait, 60000)*(0.5+l.random.Float64())) + 1}
	}
	a.requests.take(1)
	a.tokens.take(tokens)
	return Decision{Allowed: true}
}

// Settle corrects a paid request by the tokens it used more (positive) or less
// (negative) than asked for.
func (l *Limiter) Settle(now sardine.Millis, w sardine.Workspace, more float64) {
	a := l.accounts[w]
	if a == nil {
		return
	}
	a.tokens.fill(now)
	a.tokens.take(more)
	a.offered.Tokens = max(a.offered.Tokens+more, 0)
}

// lapse falls back to the own shares once the grant has run out.
func (l *Limiter) lapse(now sardine.Millis) {
	if l.until == 0 || now < l.until {
		return
	}
	l.until = 0
	for _, a := range l.accounts {
		l.apply(now, a, Rate{})
	}
}

// Report returns the node's word to the lender. Call it once a ReportInterval;
// it names the workspaces with demand and those whose demand has just ended.
func (l *Limiter) Report(now sardine.Millis) Report {
	seconds := max(float64(now-l.reported)/1000, 0.001)
	l.reported = now
	report := Report{Node: l.node, Holding: l.holding}
	for w, a := range l.accounts {
		recent := a.offered.times(1 / seconds)
		a.offered = Rate{}
		count := max(a.count, a.wanted.Requests*seconds)
		gain := min(leastGain+demandGain*count/sureCount, demandGain)
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

// Lent takes a grant that answers a report made at the instant asked. The term
// counts from then, so that the node's grant ends before the lender's.
func (l *Limiter) Lent(now, asked sardine.Millis, g Grant) {
	if g.Number <= l.holding || asked+g.Term <= now {
		return
	}
	l.holding = g.Number
	l.until = asked + g.Term
	lent := make(map[sardine.Workspace]Rate, len(g.Shares))
	for _, s := range g.Shares {
		lent[s.Workspace] = s.Rate
	}
	for w, a := range l.accounts {
		l.apply(now, a, lent[w])
	}
}
