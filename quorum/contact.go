package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// contactWindows is the number of longest election timeouts within which a voter must
// have sent something to count as one that answers. Voters without a leader request
// votes from each other several times in each.
const contactWindows = 2

// Contact describes another voter from the point of view of a voter without a leader.
type Contact struct {
	Node    sardine.NodeID
	HeardAt sardine.Millis // when its last message arrived, 0 before the first
	Answers bool           // it sent something lately
}

// recordContactWith records a message of another member. A leader keeps this in its
// progress of the members.
func (c *Core) recordContactWith(n sardine.NodeID) {
	if c.role == Leader || !slices.ContainsFunc(c.members(), func(m Member) bool { return m.Node == n }) {
		return
	}
	if c.heard == nil {
		c.heard = make(map[sardine.NodeID]sardine.Millis)
	}
	c.heard[n] = c.now
}

// contacts returns the other voters if this node is a voter that knows no leader, and
// otherwise none: without elections, voters exchange no messages with each other.
func (c *Core) contacts() []Contact {
	if c.leader != "" || !c.isVoter(c.id) {
		return nil
	}
	var all []Contact
	for _, n := range c.otherVoters() {
		at, heard := c.heard[n]
		all = append(all, Contact{Node: n, HeardAt: at, Answers: heard && c.now-at <= contactWindows*c.timing.ElectionMax})
	}
	return all
}

// setLeader records which node leads, and since when.
func (c *Core) setLeader(n sardine.NodeID) {
	if c.leader != n {
		c.leaderSince = c.now
	}
	c.leader = n
}

// Reach describes the votes that a voter without a leader can gather: the margin, and
// the voters that do not answer it. ok is false on all other nodes, which don't know.
func (s Status) Reach() (m Margin, silent []sardine.NodeID, ok bool) {
	if s.Leader != "" || len(s.Contacts) == 0 {
		return Margin{}, nil, false
	}
	m.Voters = len(s.Contacts) + 1
	m.Answering = 1
	m.Needed = m.Voters/2 + 1
	for _, k := range s.Contacts {
		if k.Answers {
			m.Answering++
		} else {
			silent = append(silent, k.Node)
		}
	}
	return m, silent, true
}
