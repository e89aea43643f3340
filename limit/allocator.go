package limit

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// evenShare is the part of the mean demand that is added to each node's
// demand.
const evenShare = 0.15

// shareHysteresis is the relative change below which a share is kept.
const shareHysteresis = 0.1

// grantRecord is a grant that a node may still apply.
type grantRecord struct {
	number uint64
	until  sardine.Millis
	shares map[sardine.Workspace]Rate
}

// client holds one node's demand and its open grants, oldest first.
type client struct {
	node        sardine.NodeID
	wanted      map[sardine.Workspace]Rate
	openGrants  []grantRecord
	lastNumber  uint64
	lastContact sardine.Millis
}

// Allocator allocates shares of the limits to entry nodes by their demand. It is
// not safe for concurrent use. After a change of leader, the new allocator
// allocates nothing for one GrantTerm, until its predecessor's grants have
// expired.
type Allocator struct {
	limits      map[sardine.Workspace]Rate
	clients     map[sardine.NodeID]*client
	startsAt    sardine.Millis
	firstNumber uint64
}

// NewAllocator returns an allocator that starts at now. term must increase with each
// allocator of the site, as the control term does, so that grant numbers
// increase.
func NewAllocator(now sardine.Millis, term uint64) *Allocator {
	return &Allocator{
		limits:      make(map[sardine.Workspace]Rate),
		clients:     make(map[sardine.NodeID]*client),
		startsAt:    now + GrantTerm,
		firstNumber: term << 32,
	}
}

// Configure sets the limits. A lowered limit takes effect as grants expire.
func (l *Allocator) Configure(limits map[sardine.Workspace]Rate) {
	l.limits = limits
}

// Report records a node's demand and returns its grant.
func (l *Allocator) Report(now sardine.Millis, r Report) Grant {
	l.expire(now)
	c := l.clients[r.Node]
	if c == nil {
		c = &client{node: r.Node, wanted: make(map[sardine.Workspace]Rate), lastNumber: l.firstNumber}
		l.clients[r.Node] = c
	}
	c.lastContact = now
	c.dropOlder(r.AppliedGrant)
	c.setDemands(r.Demands)
	c.lastNumber++
	g := Grant{Number: c.lastNumber, Term: GrantTerm}
	if now < l.startsAt {
		return g
	}
	opened := grantRecord{number: g.Number, until: now + GrantTerm, shares: make(map[sardine.Workspace]Rate, len(c.wanted))}
	for w := range l.limits {
		rate := l.allocation(c, w)
		if rate == (Rate{}) {
			continue
		}
		opened.shares[w] = rate
		g.Shares = append(g.Shares, Share{Workspace: w, Rate: rate})
	}
	slices.SortFunc(g.Shares, func(a, b Share) int { return cmp.Compare(a.Workspace, b.Workspace) })
	c.openGrants = append(c.openGrants, opened)
	return g
}

// dropOlder removes the grants older than the one that the node applies.
func (c *client) dropOlder(holding uint64) {
	c.openGrants = slices.DeleteFunc(c.openGrants, func(g grantRecord) bool { return g.number < holding })
}

func (c *client) setDemands(demands []Demand) {
	for w := range c.wanted {
		delete(c.wanted, w)
	}
	for _, d := range demands {
		if d.Wanted != (Rate{}) {
			c.wanted[d.Workspace] = d.Wanted
		}
	}
}

// highestRate returns the highest rate of a workspace in the node's open
// grants, of which the node may apply any.
func (c *client) highestRate(w sardine.Workspace) Rate {
	var highest Rate
	for _, g := range c.openGrants {
		highest = highest.higher(g.shares[w])
	}
	return highest
}

// allocation returns the share of a workspace's limit for a node: its share
// by demand, but at most what the other nodes leave.
func (l *Allocator) allocation(c *client, w sardine.Workspace) Rate {
	limit, limited := l.limits[w]
	if !limited {
		return Rate{}
	}
	allocatable := limit.times(1 - ReserveShare)
	var wanted, held Rate
	for _, other := range l.clients {
		wanted = wanted.plus(other.wanted[w])
		if other != c {
			held = held.plus(other.highestRate(w))
		}
	}
	own, before := c.wanted[w], c.newestRate(w)
	nodes := float64(len(l.clients))
	return Rate{
		Requests: fairShare(allocatable.Requests, own.Requests, wanted.Requests, held.Requests, before.Requests, nodes),
		Tokens:   fairShare(allocatable.Tokens, own.Tokens, wanted.Tokens, held.Tokens, before.Tokens, nodes),
	}
}

// fairShare divides the limit by demand, where a part of the mean demand is
// added to each node's own, so that a node without recent requests also gets
// a share. A share close to the previous one is kept: after a change the
// higher of both counts as allocated until the node has confirmed the new
// grant.
func fairShare(allocatable, own, wanted, held, before, nodes float64) float64 {
	if wanted <= 0 {
		return 0
	}
	mean := wanted / nodes
	share := allocatable * (own + evenShare*mean) / (wanted * (1 + evenShare))
	if before > 0 && share > before*(1-shareHysteresis) && share < before*(1+shareHysteresis) {
		share = before
	}
	return max(min(share, allocatable-held), 0)
}

// newestRate returns the workspace's rate in the node's newest grant.
func (c *client) newestRate(w sardine.Workspace) Rate {
	if len(c.openGrants) == 0 {
		return Rate{}
	}
	return c.openGrants[len(c.openGrants)-1].shares[w]
}

// expire removes expired grants and nodes that no longer report.
func (l *Allocator) expire(now sardine.Millis) {
	for node, c := range l.clients {
		c.openGrants = slices.DeleteFunc(c.openGrants, func(g grantRecord) bool { return g.until <= now })
		if len(c.openGrants) == 0 && c.lastContact+GrantTerm <= now {
			delete(l.clients, node)
		}
	}
}

// Check asserts that the open grants of no workspace exceed its limit. The
// error carries codes.InvariantBroken. It must not be called between the
// lowering of a limit and the end of the grants made before.
func (l *Allocator) Check(now sardine.Millis) error {
	l.expire(now)
	for w, limit := range l.limits {
		var held Rate
		for _, c := range l.clients {
			held = held.plus(c.highestRate(w))
		}
		allocatable := limit.times(1 - ReserveShare)
		if held.Requests > allocatable.Requests*1.0001 || held.Tokens > allocatable.Tokens*1.0001 {
			return codes.New(codes.InvariantBroken, "%v of %v per second of workspace %s are allocated", held, allocatable, w)
		}
	}
	return nil
}
