package follow

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
)

// promptPause is the shortest time between extra polls for one follower that
// made no progress.
const promptPause = sardine.Millis(500)

// child is one node that follows through the relay.
type child struct {
	ref      NodeRef
	seen     sardine.Millis
	polls    []*poll        // at most one that is held for news and one prompt
	set      []NodeRef      // nodes that follow through the child
	reported uint64         // applied index that the upstream node was told
	granted  sardine.Millis // last lease handed out
	prompted sardine.Millis // last extra poll
	missed   bool           // it did not ask in time for the last request
}

// replaced returns the poll of the same sort that a new one makes pointless.
func (c *child) replaced(next *poll) *poll {
	for _, p := range c.polls {
		if (p.r.Hold == 0) == (next.r.Hold == 0) {
			return p
		}
	}
	return nil
}

// late returns the polls that a request of the relay does not include.
func (c *child) late(included map[uint64]bool) []*poll {
	var late []*poll
	for _, p := range c.polls {
		if !included[p.id] {
			late = append(late, p)
		}
	}
	return late
}

// cover is what one request of the relay's own node says for its followers.
type cover struct {
	sent     sardine.Millis // when the request was sent
	set      []NodeRef
	covered  []bool
	applied  uint64
	included map[uint64]bool // ids of the polls
	reports  []TargetReport
}

// gather returns the cover of a request that is sent now, without the polls that
// an earlier request under way includes.
func (y *Relay) gather(now sardine.Millis, earlier map[uint64]bool, applied uint64) cover {
	c := cover{sent: now, applied: applied, included: make(map[uint64]bool), reports: y.reports}
	y.reports = nil
	for _, child := range y.sorted() {
		polls := child.late(earlier)
		child.missed = len(child.polls) == 0
		if len(polls) > 0 {
			child.prompted = now
		}
		for _, p := range polls {
			c.applied = min(c.applied, p.r.Applied)
			c.included[p.id] = true
			child.reported = max(child.reported, p.r.Applied)
		}
		c.set = append(c.set, child.ref)
		c.covered = append(c.covered, len(polls) > 0 || y.defect == DefectCoverAbsent)
		for i, ref := range child.set {
			c.set = append(c.set, ref)
			c.covered = append(c.covered, slices.ContainsFunc(polls, func(p *poll) bool {
				return i < len(p.r.Covered) && p.r.Covered[i]
			}))
		}
	}
	return c
}

// complete reports whether every follower waits for an answer, but those that
// were missing last time.
func (y *Relay) complete() bool {
	for _, c := range y.children {
		if len(c.polls) == 0 && !c.missed {
			return false
		}
	}
	return true
}

// promptAt returns when to ask for the polls that the request under way does not
// include: for those of followers that want an answer at once or have progress
// to report, and for those whose last lease is old.
func (y *Relay) promptAt(included map[uint64]bool) sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	for _, c := range y.children {
		for _, p := range c.late(included) {
			switch {
			case p.r.Hold == 0 || p.r.Applied > c.reported:
				next = min(next, p.arrived+PromptDelay)
			case p.arrived > c.granted+y.timing.Hold*3/2:
				next = min(next, max(p.arrived+PromptDelay, c.prompted+promptPause))
			}
		}
	}
	return next
}

// upstream hands out what the answer to the node's own request holds. Main is
// false for a prompt request, whose answer concerns the included polls alone.
func (y *Relay) upstream(now sardine.Millis, c cover, r Reply, main bool) {
	y.open = true
	y.term = r.Term
	y.freshAt = max(y.freshAt, c.sent+r.Fresh)
	for _, home := range r.WantFull {
		y.wantFull[home] = true
	}
	for _, child := range y.sorted() {
		for _, p := range slices.Clone(child.polls) {
			if c.included[p.id] {
				y.answer(child, p, y.share(now, child, p, r))
			} else if main {
				y.answer(child, p, nil)
			}
		}
	}
}

// share returns a poll's part of the answer.
func (y *Relay) share(now sardine.Millis, c *child, p *poll, r Reply) *Reply {
	part := Reply{}
	for _, f := range r.Refused {
		if f.Ref == c.ref || slices.Contains(c.set, f.Ref) {
			part.Refused = append(part.Refused, f)
		}
	}
	if r.Grant != nil && !r.WantSet {
		c.granted = now
		part.Grant = &lease.Grant{
			Sequence: p.r.Sequence,
			Serving:  r.Grant.Serving,
			Holding:  r.Grant.Holding,
			Floor:    r.Grant.Floor,
		}
	}
	return &part
}

// answer completes a poll's reply with the news. Part holds its lease, if any.
func (y *Relay) answer(c *child, p *poll, part *Reply) {
	c.polls = slices.DeleteFunc(c.polls, func(other *poll) bool { return other == p })
	reply := Reply{}
	if part != nil {
		reply = *part
	}
	reply.Term = y.term
	reply.Fresh = y.freshAt - p.arrived
	reply.Leader = y.leader
	reply.WantFull = y.takeWantFull(c)
	news, ok := y.cache.since(p.r.Have)
	reply.After, reply.Through, reply.News = p.r.Have, max(p.r.Have, y.cache.through), news
	if !ok {
		whole, news, err := y.cache.whole(y.snapshot)
		if err != nil {
			y.send(p.id, faultReply(codes.Of(err), err.Error(), ""))
			return
		}
		reply.Snapshot, reply.After, reply.News = whole.bytes, whole.index, news
		reply.Through = max(whole.index, y.cache.through)
	}
	y.send(p.id, reply)
}
