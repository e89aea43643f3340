package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// members returns the current member list: the newest in the log, committed or
// not.
func (c *Core) members() []Member {
	return c.memberLists[len(c.memberLists)-1].members
}

func (c *Core) voters() []sardine.NodeID {
	var names []sardine.NodeID
	for _, m := range c.members() {
		if !m.Learner {
			names = append(names, m.Node)
		}
	}
	return names
}

func (c *Core) otherVoters() []sardine.NodeID {
	return slices.DeleteFunc(c.voters(), func(n sardine.NodeID) bool { return n == c.id })
}

// others returns all other members, including learners, in list order.
func (c *Core) others() []sardine.NodeID {
	var names []sardine.NodeID
	for _, m := range c.members() {
		if m.Node != c.id {
			names = append(names, m.Node)
		}
	}
	return names
}

func (c *Core) isVoter(n sardine.NodeID) bool {
	return slices.Contains(c.voters(), n)
}

// mayLead reports whether this node may start an election. A voter whose removal
// is not committed still may: it can be the only one whose log is long enough to
// win.
func (c *Core) mayLead() bool {
	if c.isVoter(c.id) {
		return true
	}
	n := len(c.memberLists)
	if n < 2 || c.memberLists[n-1].index <= c.commit {
		return false
	}
	return slices.ContainsFunc(c.memberLists[n-2].members, func(m Member) bool { return m.Node == c.id && !m.Learner })
}

func (c *Core) memberAddress(n sardine.NodeID) string {
	for _, m := range c.members() {
		if m.Node == n {
			return m.Address
		}
	}
	return ""
}

// quorum reports whether a majority of the voters satisfies f.
func (c *Core) quorum(f func(sardine.NodeID) bool) bool {
	return majority(c.voters(), f)
}

func majority(voters []sardine.NodeID, f func(sardine.NodeID) bool) bool {
	count := 0
	for _, n := range voters {
		if f(n) {
			count++
		}
	}
	return count > len(voters)/2
}

// updatePeers makes the leader's progress records match the member list.
func (c *Core) updatePeers() {
	if c.role != Leader {
		return
	}
	others := c.others()
	for n := range c.peers {
		if !slices.Contains(others, n) {
			delete(c.peers, n)
		}
	}
	for _, n := range others {
		if c.peers[n] == nil {
			c.peers[n] = newProgress(c.log.last().Index+1, c.now)
		}
	}
}

// ChangeMember appends a member change. The leader uses the new list at once; the
// change is final when its entry is committed. Errors: codes.NotLeader,
// codes.NoQuorum, codes.MemberBusy, codes.UnknownMember and
// codes.InvariantBroken.
func (c *Core) ChangeMember(now sardine.Millis, change MemberChange) (Position, error) {
	if err := c.mayPropose(now); err != nil {
		return Position{}, err
	}
	open := c.commit < c.firstOfTerm || c.memberLists[len(c.memberLists)-1].index > c.commit
	if open && !c.defects.ConcurrentMemberChange {
		return Position{}, codes.New(codes.MemberBusy, "the last member change is not committed yet")
	}
	next, err := c.membersAfter(change)
	if err != nil {
		return Position{}, err
	}
	if err := c.checkReachable(next); err != nil {
		return Position{}, err
	}
	position := c.appendAsLeader(Entry{Kind: KindMembers, Members: next})
	if !c.check(c.uncommittedLists() == 1, "%d member changes are uncommitted at once", c.uncommittedLists()) {
		return Position{}, c.err
	}
	return position, nil
}

// uncommittedLists returns the number of uncommitted member lists.
func (c *Core) uncommittedLists() int {
	open := 0
	for _, l := range c.memberLists[1:] {
		if l.index > c.commit {
			open++
		}
	}
	return open
}

// membersAfter returns the member list after the change.
func (c *Core) membersAfter(change MemberChange) ([]Member, error) {
	next := slices.Clone(c.members())
	at := slices.IndexFunc(next, func(m Member) bool { return m.Node == change.Member.Node })
	switch {
	case change.Kind == AddLearner && at < 0:
		m := Member{Node: change.Member.Node, Address: change.Member.Address, Learner: true}
		return append(next, m), nil
	case change.Kind == AddLearner:
		return nil, codes.New(codes.MemberBusy, "%s is a member already", change.Member.Node)
	case at < 0:
		return nil, codes.New(codes.UnknownMember, "%s is not a member", change.Member.Node)
	case change.Kind == Promote && !next[at].Learner:
		return nil, codes.New(codes.MemberBusy, "%s has a vote already", change.Member.Node)
	case change.Kind == Promote:
		next[at].Learner = false
		return next, c.checkCaughtUp(change.Member.Node)
	default:
		return slices.Delete(next, at, at+1), nil
	}
}

// isAvailable reports whether a member is settled and replied within the longest
// election timeout.
func (c *Core) isAvailable(p *progress) bool {
	return p.settled && c.answers(p)
}

// answers reports whether a member replied within the longest election timeout.
func (c *Core) answers(p *progress) bool {
	return c.now-p.lastContact <= c.timing.ElectionMax
}

// caughtUp reports whether a member answers and lacks few entries.
func (c *Core) caughtUp(p *progress) bool {
	return c.isAvailable(p) && p.match+c.limits.PromoteLag >= c.log.last().Index
}

func (c *Core) checkCaughtUp(n sardine.NodeID) error {
	p := c.peers[n]
	if p == nil {
		return nil
	}
	if !c.caughtUp(p) {
		return codes.New(codes.MemberBusy, "learner %s holds %d of %d entries, wait until it has caught up", n, p.match, c.log.last().Index)
	}
	return nil
}

// checkReachable rejects a member list whose available voters would not form a
// quorum.
func (c *Core) checkReachable(next []Member) error {
	var voters []sardine.NodeID
	for _, m := range next {
		if !m.Learner {
			voters = append(voters, m.Node)
		}
	}
	reachable := majority(voters, func(n sardine.NodeID) bool {
		p := c.peers[n]
		return n == c.id || p != nil && c.isAvailable(p)
	})
	if !reachable {
		return codes.New(codes.NoQuorum, "the members after this change could not form a quorum: too few of them answer and have caught up")
	}
	return nil
}

// stepDownIfRemoved transfers the leadership and steps down once the removal of
// this node, or of its vote, is committed.
func (c *Core) stepDownIfRemoved() {
	if c.role != Leader || c.isVoter(c.id) || c.memberLists[len(c.memberLists)-1].index > c.commit {
		return
	}
	c.TransferLeadership(c.now)
	c.becomeFollower(c.hard.Term, "")
}
