package follow

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
)

// child is one node that follows through the relay.
type child struct {
	ref      NodeRef
	seen     sardine.Millis
	arrived  sardine.Millis // of the poll
	poll     *poll          // nil while the child has been answered
	set      []NodeRef      // nodes that follow through the child
	reported uint64         // applied index that the upstream node was told
	granted  sardine.Millis // last lease handed out
	missed   bool           // it did not ask in time for the last request
}

// Relay is the part of an entry node that others of its data centre follow
// through. It belongs to a Follower, whose requests carry its followers'
// reports; the shell hands it their requests and sends its answers.
type Relay struct {
	self     NodeRef
	timing   Timing
	defect   Defect
	open     bool
	cache    cache
	children map[sardine.NodeID]*child
	reports  []TargetReport
	urgentAt sardine.Millis // when the first urgent one of reports came
	wantFull map[sardine.NodeID]bool
	term     uint64
	snapshot func() ([]byte, uint64, error)
	answers  []Answer
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

// Arrived takes in a follower's request, which Answers answers under id.
func (y *Relay) Arrived(now sardine.Millis, id uint64, r Request) {
	p := &poll{id: id, r: r, until: now + min(r.Hold, y.timing.Hold) + RelaySlack}
	c, refusal := y.admit(now, r)
	if refusal != nil {
		y.send(id, *refusal)
		return
	}
	if c.poll != nil {
		y.answer(c, nil)
	}
	c.poll, c.arrived = p, now
	y.take(now, r.Reports)
	if y.cache.newer(r.Have) {
		y.answer(c, nil)
	}
}

// take keeps followers' reports for the next request.
func (y *Relay) take(now sardine.Millis, reports []TargetReport) {
	for _, r := range reports {
		if r.Urgent && !slices.ContainsFunc(y.reports, func(kept TargetReport) bool { return kept.Urgent }) {
			y.urgentAt = now
		}
		y.reports = append(y.reports, r)
	}
}

// admit returns the child that asks, or the reply that turns it away.
func (y *Relay) admit(now sardine.Millis, r Request) (*child, *Reply) {
	if !y.open || r.From.Node == y.self.Node || slices.ContainsFunc(r.Set, func(ref NodeRef) bool { return ref.Node == y.self.Node }) {
		return nil, new(faultReply(codes.NoLease, "this relay is cut off", ""))
	}
	c, known := y.children[r.From.Node]
	if !known || c.ref.Incarnation < r.From.Incarnation {
		if !known && len(y.children) >= MaxChildren {
			return nil, new(faultReply(codes.LimitReached, "this relay has enough followers", ""))
		}
		c = &child{ref: r.From}
		y.children[r.From.Node] = c
	}
	if c.ref.Incarnation > r.From.Incarnation {
		return nil, new(faultReply(codes.Superseded, "a later incarnation follows here", ""))
	}
	c.seen, c.missed = now, false
	if r.SetHash == hashRefs(r.Set) {
		c.set = r.Set
	}
	if r.SetHash != hashRefs(c.set) {
		return nil, &Reply{WantSet: true, After: r.Have, Through: r.Have}
	}
	return c, nil
}

// cover is what one request of the relay's own node says for its followers.
type cover struct {
	set      []NodeRef
	covered  []bool
	applied  uint64
	included map[sardine.NodeID]uint64 // sequence of each child's poll
	reports  []TargetReport
}

// gather returns the cover of a request that is sent now.
func (y *Relay) gather(applied uint64) cover {
	c := cover{applied: applied, included: make(map[sardine.NodeID]uint64), reports: y.reports}
	y.reports = nil
	for _, child := range y.sorted() {
		asked := child.poll != nil
		child.missed = !asked
		if asked {
			c.applied = min(c.applied, child.poll.r.Applied)
			c.included[child.ref.Node] = child.poll.r.Sequence
			child.reported = child.poll.r.Applied
		}
		c.set = append(c.set, child.ref)
		c.covered = append(c.covered, asked || y.defect == DefectCoverAbsent)
		for i, ref := range child.set {
			c.set = append(c.set, ref)
			c.covered = append(c.covered, asked && i < len(child.poll.r.Covered) && child.poll.r.Covered[i])
		}
	}
	return c
}

// complete reports whether every follower waits for an answer, but those that
// were missing last time.
func (y *Relay) complete() bool {
	for _, c := range y.children {
		if c.poll == nil && !c.missed {
			return false
		}
	}
	return true
}

// promptAt returns when to ask for followers that arrived after the request
// sent at: those with progress or an urgent report, or whose last lease is old.
func (y *Relay) promptAt(sent sardine.Millis) sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	if slices.ContainsFunc(y.reports, func(r TargetReport) bool { return r.Urgent }) {
		next = y.urgentAt + PromptDelay
	}
	for _, c := range y.children {
		if c.poll == nil || c.arrived < sent {
			continue
		}
		if c.poll.r.Applied > c.reported || c.arrived > c.granted+y.timing.Hold*3/2 {
			next = min(next, c.arrived+PromptDelay)
		}
	}
	return next
}

// upstream hands out what the answer to the node's own request holds. Main is
// false for a prompt request, whose answer concerns the included alone.
func (y *Relay) upstream(now sardine.Millis, c cover, r Reply, main bool) {
	y.open = true
	y.term = r.Term
	for _, home := range r.WantFull {
		y.wantFull[home] = true
	}
	for _, child := range y.sorted() {
		if child.poll == nil {
			continue
		}
		sequence, included := c.included[child.ref.Node]
		if included && sequence == child.poll.r.Sequence {
			y.answer(child, y.share(now, child, r))
		} else if main {
			y.answer(child, nil)
		}
	}
}

// share returns a child's part of the answer.
func (y *Relay) share(now sardine.Millis, c *child, r Reply) *Reply {
	part := Reply{}
	for _, f := range r.Refused {
		if f.Ref == c.ref || slices.Contains(c.set, f.Ref) {
			part.Refused = append(part.Refused, f)
		}
	}
	if r.Grant != nil && !r.WantSet {
		c.granted = now
		part.Grant = &lease.Grant{
			Sequence: c.poll.r.Sequence,
			Serving:  r.Grant.Serving,
			Holding:  r.Grant.Holding,
			Floor:    r.Grant.Floor,
		}
	}
	return &part
}

// answer completes a child's reply with the news. Part holds its lease, if any.
func (y *Relay) answer(c *child, part *Reply) {
	p := c.poll
	c.poll = nil
	reply := Reply{}
	if part != nil {
		reply = *part
	}
	reply.Term = y.term
	reply.WantFull = y.takeWantFull(c)
	news, ok := y.cache.since(p.r.Have)
	reply.After, reply.Through, reply.News = p.r.Have, max(p.r.Have, y.cache.through), news
	if !ok {
		b, index, err := y.snapshot()
		if err != nil {
			y.send(p.id, faultReply(codes.Of(err), err.Error(), ""))
			return
		}
		reply.Snapshot, reply.Through = b, index
	}
	y.send(p.id, reply)
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

// Gone notes that the asking side of a request has given up.
func (y *Relay) Gone(id uint64) {
	for _, c := range y.children {
		if c.poll != nil && c.poll.id == id {
			c.poll = nil
		}
	}
}

// close turns all followers away, because the node itself is cut off.
func (y *Relay) close(detail string) {
	y.open = false
	for _, c := range y.sorted() {
		if c.poll != nil {
			y.send(c.poll.id, faultReply(codes.NoLease, detail, ""))
		}
	}
	clear(y.children)
	y.reports = nil
}

// tick answers polls past their time and forgets followers that went away.
func (y *Relay) tick(now sardine.Millis) {
	for _, c := range y.sorted() {
		if c.poll != nil && now >= c.poll.until {
			y.answer(c, nil)
		}
		if c.poll == nil && now >= c.seen+ChildTimeout {
			delete(y.children, c.ref.Node)
		}
	}
}

func (y *Relay) wake() sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	for _, c := range y.children {
		if c.poll != nil {
			next = min(next, c.poll.until)
		} else {
			next = min(next, c.seen+ChildTimeout)
		}
	}
	return next
}

func (y *Relay) send(id uint64, r Reply) {
	y.answers = append(y.answers, Answer{ID: id, Reply: r})
}

// Answers returns the replies that are ready and forgets them.
func (y *Relay) Answers() []Answer {
	all := y.answers
	y.answers = nil
	return all
}

// Children returns the nodes that follow through this one directly, sorted.
func (y *Relay) Children() []NodeRef {
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
