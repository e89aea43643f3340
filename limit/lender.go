package limit

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// evenPart is how much of the mean demand each node's demand is raised by.
const evenPart = 0.15

// stayWithin is the relative change of a share that is not made.
const stayWithin = 0.1

// lent is one grant that a node may still apply.
type lent struct {
	number uint64
	until  sardine.Millis
	shares map[sardine.Workspace]Rate
}

// client is one node's demand and its open grants, oldest first.
type client struct {
	node   sardine.NodeID
	wanted map[sardine.Workspace]Rate
	open   []lent
	last   uint64
	heard  sardine.Millis
}

// Lender lends shares of the limits to entry nodes by their demand. It is not
// safe for concurrent use. A new lender, after a change of leader, lends
// nothing for one GrantTerm, until its predecessor's grants have lapsed.
type Lender struct {
	limits  map[sardine.Workspace]Rate
	clients map[sardine.NodeID]*client
	from    sardine.Millis
	first   uint64
}

// NewLender returns a lender that starts at now. term must rise with each
// lender of the site, as the control term does, so that grant numbers rise.
func NewLender(now sardine.Millis, term uint64) *Lender {
	return &Lender{
		limits:  make(map[sardine.Workspace]Rate),
		clients: make(map[sardine.NodeID]*client),
		from:    now + GrantTerm,
		first:   term << 32,
	}
}

// Configure sets the limits. A lowered limit takes effect as grants lapse.
func (l *Lender) Configure(limits map[sardine.Workspace]Rate) {
	l.limits = limits
}

// Report takes a node's demand and returns its grant.
func (l *Lender) Report(now sardine.Millis, r Report) Grant {
	l.lapse(now)
	c := l.clients[r.Node]
	if c == nil {
		c = &client{node: r.Node, wanted: make(map[sardine.Workspace]Rate), last: l.first}
		l.clients[r.Node] = c
	}
	c.heard = now
	c.close(r.Holding)
	c.demand(r.Demands)
	c.last++
	g := Grant{Number: c.last, Term: GrantTerm}
	if now < l.from {
		return g
	}
	opened := lent{number: g.Number, until: now + GrantTerm, shares: make(map[sardine.Workspace]Rate, len(c.wanted))}
	for w := range l.limits {
		rate := l.share(c, w)
		if rate == (Rate{}) {
			continue
		}
		opened.shares[w] = rate
		g.Shares = append(g.Shares, Share{Workspace: w, Rate: rate})
	}
	slices.SortFunc(g.Shares, func(a, b Share) int { return cmp.Compare(a.Workspace, b.Workspace) })
	c.open = append(c.open, opened)
	return g
}

// close forgets the grants older than the one the node applies.
func (c *client) close(holding uint64) {
	c.open = slices.DeleteFunc(c.open, func(g lent) bool { return g.number < holding })
}

func (c *client) demand(demands []Demand) {
	for w := range c.wanted {
		delete(c.wanted, w)
	}
	for _, d := range demands {
		if d.Wanted != (Rate{}) {
			c.wanted[d.Workspace] = d.Wanted
		}
	}
}

// held returns the highest rate of a workspace in the node's open grants: the
// node may apply any of them.
func (c *client) held(w sardine.Workspace) Rate {
	var highest Rate
	for _, g := range c.open {
		highest = highest.higher(g.shares[w])
	}
	return highest
}

// share returns what a node is lent of a workspace's limit: its part by demand,
// at most what the others leave.
func (l *Lender) share(c *client, w sardine.Workspace) Rate {
	limit, limited := l.limits[w]
	if !limited {
		return Rate{}
	}
	lendable := limit.times(1 - ReserveShare)
	var wanted, held Rate
	for _, other := range l.clients {
		wanted = wanted.plus(other.wanted[w])
		if other != c {
			held = held.plus(other.held(w))
		}
	}
	own, before := c.wanted[w], c.newest(w)
	nodes := float64(len(l.clients))
	return Rate{
		Requests: part(lendable.Requests, own.Requests, wanted.Requests, held.Requests, before.Requests, nodes),
		Tokens:   part(lendable.Tokens, own.Tokens, wanted.Tokens, held.Tokens, before.Tokens, nodes),
	}
}

// part divides by demand, in which each node has a part of the mean on top of
// its own: a node that had no request in the last seconds may get one. A share
// close to the one before stays as it is, since a change is paid for twice until
// the node has confirmed it.
func part(lendable, own, wanted, held, before, nodes float64) float64 {
	if wanted <= 0 {
		return 0
	}
	mean := wanted / nodes
	share := lendable * (own + evenPart*mean) / (wanted * (1 + evenPart))
	if before > 0 && share > before*(1-stayWithin) && share < before*(1+stayWithin) {
		share = before
	}
	return max(min(share, lendable-held), 0)
}

// newest returns the workspace's rate in the node's newest grant.
func (c *client) newest(w sardine.Workspace) Rate {
	if len(c.open) == 0 {
		return Rate{}
	}
	return c.open[len(c.open)-1].shares[w]
}

// lapse forgets grants that have run out and nodes that report no more.
func (l *Lender) lapse(now sardine.Millis) {
	for node, c := range l.clients {
		c.open = slices.DeleteFunc(c.open, func(g lent) bool { return g.until <= now })
		if len(c.open) == 0 && c.heard+GrantTerm <= now {
			delete(l.clients, node)
		}
	}
}

// Check asserts that no workspace's open grants exceed its limit. The error
// carries codes.InvariantBroken. It must not be called between a lowered limit
// and the end of the grants made before.
func (l *Lender) Check(now sardine.Millis) error {
	l.lapse(now)
	for w, limit := range l.limits {
		var held Rate
		for _, c := range l.clients {
			held = held.plus(c.held(w))
		}
		lendable := limit.times(1 - ReserveShare)
		if held.Requests > lendable.Requests*1.0001 || held.Tokens > lendable.Tokens*1.0001 {
			return codes.New(codes.InvariantBroken, "%v of %v per second of workspace %s are lent", held, lendable, w)
		}
	}
	return nil
}
