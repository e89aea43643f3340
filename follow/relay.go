package follow

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Relay is the part of an entry node that serves other entry nodes of its data
// centre. It belongs to a Follower, whose requests carry the followers' reports.
// The caller passes it the followers' requests and sends its replies.
type Relay struct {
	self        NodeRef
	timing      Timing
	defect      Defect
	open        bool // accepts followers
	cache       cache
	children    map[sardine.NodeID]*child
	reports     []TargetReport          // of followers, for the next request
	wantFull    map[sardine.NodeID]bool // home nodes whose next report must be full
	term        uint64
	leader      string         // address of the control node that the updates come from
	confirmedAt sardine.Millis // when a leader last confirmed the relay's state as current
	// leaderlessAt is when control nodes last answered that there is no leader, 0 after
	// an answer of a leader.
	leaderlessAt sardine.Millis
	snapshot     func() ([]byte, uint64, error)
	replies      []PollReply
}

func newRelay(self NodeRef, t Timing, d Defect) *Relay {
	return &Relay{
		self:     self,
		timing:   t,
		defect:   d,
		children: make(map[sardine.NodeID]*child),
		wantFull: make(map[sardine.NodeID]bool),
	}
}

// HandleRequest handles a follower's request. TakeReplies returns the reply with the
// same id.
func (y *Relay) HandleRequest(now sardine.Millis, id uint64, r Request) {
	p := &poll{id: id, r: r, arrived: now, until: now + min(r.Hold, y.timing.PollHold) + RelayHoldMargin}
	c, refusal := y.admit(now, r)
	if refusal != nil {
		y.send(id, *refusal)
		return
	}
	if old := c.superseded(p); old != nil {
		y.answer(c, old, nil)
	}
	c.polls = append(c.polls, p)
	y.reports = append(y.reports, r.Reports...)
	if y.cache.hasNewer(r.Have) {
		y.answer(c, p, nil)
	}
}

// admit returns the child that sent the request, or the reply that rejects it.
func (y *Relay) admit(now sardine.Millis, r Request) (*child, *Reply) {
	if !y.open || r.From.Node == y.self.Node || slices.ContainsFunc(r.Set, func(ref NodeRef) bool { return ref.Node == y.self.Node }) {
		return nil, new(faultReply(codes.NoLease, "this relay is cut off", ""))
	}
	c, known := y.children[r.From.Node]
	if !known || c.ref.Incarnation < r.From.Incarnation {
		if !known && len(y.children) >= MaxFollowers {
			return nil, new(faultReply(codes.LimitReached, "this relay has the maximum number of followers", ""))
		}
		c = &child{ref: r.From}
		y.children[r.From.Node] = c
	}
	if c.ref.Incarnation > r.From.Incarnation {
		return nil, new(faultReply(codes.Superseded, "a later incarnation of this node follows this relay", ""))
	}
	c.seen, c.absent = now, false
	if r.SetHash == hashRefs(r.Set) {
		c.set = r.Set
	}
	if r.SetHash != hashRefs(c.set) {
		return nil, &Reply{WantSet: true, After: r.Have, Through: r.Have}
	}
	return c, nil
}

func (y *Relay) takeWantFull(c *child) []sardine.NodeID {
	var homes []sardine.NodeID
	for _, ref := range append([]NodeRef{c.ref}, c.set...) {
		if y.wantFull[ref.Node] {
			homes = append(homes, ref.Node)
			delete(y.wantFull, ref.Node)
		}
	}
	return homes
}

// CancelRequest drops a request whose sender no longer waits for the reply.
func (y *Relay) CancelRequest(id uint64) {
	for _, c := range y.children {
		c.polls = slices.DeleteFunc(c.polls, func(p *poll) bool { return p.id == id })
	}
}

// close rejects all pending polls and drops all followers, because the node can't
// serve them.
func (y *Relay) close(detail string) {
	y.open = false
	for _, c := range y.sorted() {
		for _, p := range c.polls {
			y.send(p.id, faultReply(codes.NoLease, detail, ""))
		}
	}
	clear(y.children)
	y.reports = nil
}

// closesAt returns when the relay's state is too old for its followers.
func (y *Relay) closesAt() sardine.Millis {
	at := y.confirmedAt + MaxStaleness
	if y.leaderlessAt == 0 {
		return at
	}
	return max(at, min(y.confirmedAt+MaxLeaderless, y.leaderlessAt+LeaderlessValidity))
}

// recordLeaderless records that there is no leader. The first time, all pending polls
// are answered with that, before the followers' own state is too old for the nodes
// below them.
func (y *Relay) recordLeaderless(now sardine.Millis) {
	first := y.leaderlessAt == 0
	y.leaderlessAt = now
	if !first || !y.open {
		return
	}
	for _, c := range y.sorted() {
		for _, p := range slices.Clone(c.polls) {
			y.answer(c, p, nil)
		}
	}
}

// tick answers the polls whose hold time is over, removes followers that stopped
// polling, and rejects all followers once the relay's state is too old.
func (y *Relay) tick(now sardine.Millis) {
	if y.open && now >= y.closesAt() {
		y.close("this relay is cut off")
	}
	for _, c := range y.sorted() {
		for _, p := range slices.Clone(c.polls) {
			if now >= p.until {
				y.answer(c, p, nil)
			}
		}
		if len(c.polls) == 0 && now >= c.seen+FollowerTimeout {
			delete(y.children, c.ref.Node)
		}
	}
}

func (y *Relay) wake() sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	if y.open {
		next = y.closesAt()
	}
	for _, c := range y.children {
		if len(c.polls) == 0 {
			next = min(next, c.seen+FollowerTimeout)
		}
		for _, p := range c.polls {
			next = min(next, p.until)
		}
	}
	return next
}

func (y *Relay) send(id uint64, r Reply) {
	y.replies = append(y.replies, PollReply{ID: id, Reply: r})
}

// TakeReplies returns and removes the replies that are ready.
func (y *Relay) TakeReplies() []PollReply {
	all := y.replies
	y.replies = nil
	return all
}

// Followers returns the nodes that poll this relay, sorted by name.
func (y *Relay) Followers() []NodeRef {
	all := make([]NodeRef, 0, len(y.children))
	for _, c := range y.sorted() {
		all = append(all, c.ref)
	}
	return all
}

func (y *Relay) sorted() []*child {
	all := make([]*child, 0, len(y.children))
	for _, c := range y.children {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *child) int { return cmp.Compare(a.ref.Node, b.ref.Node) })
	return all
}
