package follow

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
)

// extraPollInterval is the minimum time between extra polls for one follower
// whose applied index has not increased.
const extraPollInterval = sardine.Millis(500)

// child is one node that polls the relay.
type child struct {
	ref          NodeRef
	seen         sardine.Millis
	polls        []*poll        // at most one that may be held for updates and one that may not
	set          []NodeRef      // nodes below the child in the tree
	reported     uint64         // applied index that was last reported upstream
	lastGrant    sardine.Millis // when it last got a lease
	lastIncluded sardine.Millis // when a request last included its polls
	absent       bool           // it had no poll pending when the last request was sent
}

// superseded returns the pending poll that next replaces: the one that is held or
// not held like next.
func (c *child) superseded(next *poll) *poll {
	for _, p := range c.polls {
		if (p.r.Hold == 0) == (next.r.Hold == 0) {
			return p
		}
	}
	return nil
}

// notIncluded returns the polls that a request of the relay does not include.
func (c *child) notIncluded(included map[uint64]bool) []*poll {
	var others []*poll
	for _, p := range c.polls {
		if !included[p.id] {
			others = append(others, p)
		}
	}
	return others
}

// aggregate is the part of one request that the relay's own node sends for its
// followers.
type aggregate struct {
	sent     sardine.Millis // when the request was sent
	set      []NodeRef
	covered  []bool
	applied  uint64
	included map[uint64]bool // ids of the polls
	reports  []TargetReport
}

// aggregate returns the followers' part of a request that is sent now, without
// the polls that an earlier pending request includes.
func (y *Relay) aggregate(now sardine.Millis, earlier map[uint64]bool, applied uint64) aggregate {
	agg := aggregate{sent: now, applied: applied, included: make(map[uint64]bool), reports: y.reports}
	y.reports = nil
	for _, child := range y.sorted() {
		polls := child.notIncluded(earlier)
		child.absent = len(child.polls) == 0
		if len(polls) > 0 {
			child.lastIncluded = now
		}
		for _, p := range polls {
			agg.applied = min(agg.applied, p.r.Applied)
			agg.included[p.id] = true
			child.reported = max(child.reported, p.r.Applied)
		}
		agg.set = append(agg.set, child.ref)
		agg.covered = append(agg.covered, len(polls) > 0 || y.defect == DefectRenewAbsent)
		for i, ref := range child.set {
			agg.set = append(agg.set, ref)
			agg.covered = append(agg.covered, slices.ContainsFunc(polls, func(p *poll) bool {
				return i < len(p.r.Covered) && p.r.Covered[i]
			}))
		}
	}
	return agg
}

// complete reports whether every follower has a poll pending, apart from those
// that had none at the last request.
func (y *Relay) complete() bool {
	for _, c := range y.children {
		if len(c.polls) == 0 && !c.absent {
			return false
		}
	}
	return true
}

// extraAt returns when to send an extra poll for the followers' polls that the
// pending request does not include: for those that must not be held or report a
// higher applied index, and for those of followers whose last lease is old.
func (y *Relay) extraAt(included map[uint64]bool) sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	for _, c := range y.children {
		for _, p := range c.notIncluded(included) {
			switch {
			case p.r.Hold == 0 || p.r.Applied > c.reported:
				next = min(next, p.arrived+ExtraPollDelay)
			case p.arrived > c.lastGrant+y.timing.PollHold*3/2:
				next = min(next, max(p.arrived+ExtraPollDelay, c.lastIncluded+extraPollInterval))
			}
		}
	}
	return next
}

// handleUpstream answers followers after the reply to the node's own request.
// main is false for an extra poll, whose reply concerns the included polls alone.
func (y *Relay) handleUpstream(now sardine.Millis, agg aggregate, r Reply, main bool) {
	y.open = true
	y.term = r.Term
	y.confirmedAt = max(y.confirmedAt, agg.sent+r.ConfirmedOffset)
	y.leaderlessAt = 0
	if r.Leaderless {
		y.leaderlessAt = now
	}
	for _, home := range r.WantFull {
		y.wantFull[home] = true
	}
	for _, child := range y.sorted() {
		for _, p := range slices.Clone(child.polls) {
			if agg.included[p.id] {
				y.answer(child, p, y.replyPart(now, child, p, r))
			} else if main {
				y.answer(child, p, nil)
			}
		}
	}
}

// replyPart returns the refusals and the lease of the upstream reply that concern
// a poll.
func (y *Relay) replyPart(now sardine.Millis, c *child, p *poll, r Reply) *Reply {
	part := Reply{}
	for _, f := range r.Refused {
		if f.Ref == c.ref || slices.Contains(c.set, f.Ref) {
			part.Refused = append(part.Refused, f)
		}
	}
	if r.Grant != nil && !r.WantSet {
		c.lastGrant = now
		part.Grant = &lease.Grant{
			Sequence: p.r.Sequence,
			Serving:  r.Grant.Serving,
			Holding:  r.Grant.Holding,
			Floor:    r.Grant.Floor,
		}
	}
	return &part
}

// answer completes a poll's reply with the updates and queues it. part holds its
// lease and refusals, if any.
func (y *Relay) answer(c *child, p *poll, part *Reply) {
	c.polls = slices.DeleteFunc(c.polls, func(other *poll) bool { return other == p })
	reply := Reply{}
	if part != nil {
		reply = *part
	}
	reply.Term = y.term
	reply.ConfirmedOffset = y.confirmedAt - p.arrived
	reply.Leader = y.leader
	reply.Leaderless = y.leaderlessAt > 0
	reply.WantFull = y.takeWantFull(c)
	updates, ok := y.cache.since(p.r.Have)
	reply.After, reply.Through, reply.Updates = p.r.Have, max(p.r.Have, y.cache.through), updates
	if !ok {
		snap, updates, err := y.cache.snapshotAndUpdates(y.snapshot)
		if err != nil {
			y.send(p.id, faultReply(codes.Of(err), err.Error(), ""))
			return
		}
		reply.Snapshot, reply.After, reply.Updates = snap.bytes, snap.index, updates
		reply.Through = max(snap.index, y.cache.through)
	}
	y.send(p.id, reply)
}
