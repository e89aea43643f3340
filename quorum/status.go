package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// PeerStatus is what a leader knows about another member.
type PeerStatus struct {
	Node    sardine.NodeID
	Match   uint64
	Lag     uint64 // entries it lacks
	HeardAt sardine.Millis
}

// Status describes a core for dumps and metrics.
type Status struct {
	Role        Role
	Term        uint64
	Vote        sardine.NodeID
	Settled     bool // holds all that was ever committed before its folder began
	Leader      sardine.NodeID
	LeaderSince sardine.Millis
	First       uint64 // oldest entry held
	Last        Position
	Commit      uint64
	Durable     uint64
	Snapshot    Position
	Removed     bool   // another member that hears a leader does not list this node
	FirstOfTerm uint64 // of a leader: its first entry
	Members     []Member
	Peers       []PeerStatus // of a leader, in the order of Members
}

// Status returns a description that shares nothing with the core.
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
		Durable:     c.durable,
		Snapshot:    c.snapshot.Position,
		FirstOfTerm: c.firstOfTerm,
		Removed:     c.removed,
		Members:     slices.Clone(c.members()),
	}
	if c.role != Leader {
		return s
	}
	for _, n := range c.others() {
		p := c.peers[n]
		s.Peers = append(s.Peers, PeerStatus{Node: n, Match: p.match, Lag: s.Last.Index - p.match, HeardAt: p.heardAt})
	}
	return s
}

// Leads reports whether this node leads in its own view.
func (c *Core) Leads() bool {
	return c.role == Leader
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.hard.Term
}

// Uncommitted returns the entries behind the commit index.
func (c *Core) Uncommitted() []Entry {
	return c.log.between(c.commit, c.log.last().Index)
}

// Members returns the member list in force. The caller must not modify it.
func (c *Core) Members() []Member {
	return c.members()
}

// Leadership tells who leads in the core's view.
type Leadership struct {
	Leader sardine.NodeID // empty if unknown
	Term   uint64
	Since  sardine.Millis
}

// Leadership returns who leads in the core's view.
func (c *Core) Leadership() Leadership {
	return Leadership{Leader: c.leader, Term: c.hard.Term, Since: c.leaderSince}
}

// First returns the oldest entry held.
func (c *Core) First() uint64 {
	return c.log.base.Index + 1
}
