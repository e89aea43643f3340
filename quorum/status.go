package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// PeerStatus describes another member from the leader's point of view.
type PeerStatus struct {
	Node    sardine.NodeID
	Match   uint64
	Lag     uint64         // entries that the member lacks
	HeardAt sardine.Millis // last message from the member, or the start of the term
	Answers bool           // replied within the longest election timeout
	// CaughtUp is set if the member may be promoted, as far as its log is concerned.
	CaughtUp bool
}

// Margin describes how many voters a leader can lose.
type Margin struct {
	Voters    int
	Answering int // of the voters, including the leader
	Needed    int // for a quorum
}

// Status describes a core for status dumps and metrics.
type Status struct {
	Role        Role
	Term        uint64
	Vote        sardine.NodeID
	Settled     bool // see HardState
	Leader      sardine.NodeID
	LeaderSince sardine.Millis // since when the leader leads, or since when none is known
	First       uint64         // oldest entry in the log
	Last        Position
	Commit      uint64
	Durable     uint64
	Snapshot    Position
	Removed     bool   // a member with an active leader reported that this node is not a member
	FirstOfTerm uint64 // on a leader: the first entry of its term
	Members     []Member
	Peers       []PeerStatus // on a leader: the other members, in the order of Members
	Contacts    []Contact    // on a voter without a leader: the other voters, in the order of Members
}

// Status returns a description that shares no mutable memory with the core.
func (c *Core) Status() Status {
	s := Status{
		Role:        c.role,
		Term:        c.hard.Term,
		Vote:        c.hard.Vote,
		Settled:     c.hard.Settled,
		Leader:      c.leader,
		LeaderSince: c.leaderSince,
		First:       c.log.base.Index + 1,
		Last:        c.log.last(),
		Commit:      c.commit,
		Durable:     c.durableIndex,
		Snapshot:    c.snapshot.Position,
		FirstOfTerm: c.firstOfTerm,
		Removed:     c.removed,
		Members:     slices.Clone(c.members()),
		Contacts:    c.contacts(),
	}
	if c.role != Leader {
		return s
	}
	for _, n := range c.others() {
		p := c.peers[n]
		s.Peers = append(s.Peers, PeerStatus{Node: n, Match: p.match, Lag: s.Last.Index - p.match, HeardAt: p.heardAt, Answers: c.answers(p), CaughtUp: c.caughtUp(p)})
	}
	return s
}

// Margin returns the margin of the quorum. It is only known to the leader: ok is false on
// other members.
func (s Status) Margin() (m Margin, ok bool) {
	answers := make(map[sardine.NodeID]bool)
	for _, p := range s.Peers {
		answers[p.Node] = p.Answers
	}
	for _, member := range s.Members {
		if member.Learner {
			continue
		}
		m.Voters++
		if answers[member.Node] || member.Node == s.Leader {
			m.Answering++
		}
	}
	m.Needed = m.Voters/2 + 1
	return m, s.Role == Leader
}

// IsLeader reports whether this node considers itself the leader. Use
// ConfirmLeadership for proof.
func (c *Core) IsLeader() bool {
	return c.role == Leader
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.hard.Term
}

// Uncommitted returns the entries after the commit index.
func (c *Core) Uncommitted() []Entry {
	return c.log.between(c.commit, c.log.last().Index)
}

// Members returns the current member list. The caller must not modify it.
func (c *Core) Members() []Member {
	return c.members()
}

// Leadership describes the leader as known to a core.
type Leadership struct {
	Leader sardine.NodeID // empty if unknown
	Term   uint64
	Since  sardine.Millis
}

// Leadership returns the leader that this core knows of.
func (c *Core) Leadership() Leadership {
	return Leadership{Leader: c.leader, Term: c.hard.Term, Since: c.leaderSince}
}

// First returns the index of the oldest entry in the log.
func (c *Core) First() uint64 {
	return c.log.base.Index + 1
}
