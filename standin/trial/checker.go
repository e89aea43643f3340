package trial

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// entryResult is what all members must agree on for one log entry.
type entryResult struct {
	term    uint64
	digest  uint64 // of the state after the entry
	members string // member list in force after the entry
}

// voteKey identifies the vote of a member in a term.
type voteKey struct {
	voter sardine.NodeID
	term  uint64
}

// checker records what the members did and keeps the first violation.
type checker struct {
	results   map[uint64]entryResult
	highest   uint64 // highest entry that a member has applied
	leaders   map[uint64]sardine.NodeID
	votes     map[voteKey]sardine.NodeID
	violation string
}

func newChecker() *checker {
	return &checker{
		results: make(map[uint64]entryResult),
		leaders: make(map[uint64]sardine.NodeID),
		votes:   make(map[voteKey]sardine.NodeID),
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// recordApply records an applied entry. All members must apply the same.
func (c *checker) recordApply(id sardine.NodeID, index uint64, r entryResult) {
	previous, known := c.results[index]
	if known && previous != r {
		c.fail("entry %d: %s applied %+v, another member %+v", index, id, r, previous)
	}
	c.results[index] = r
	c.highest = max(c.highest, index)
}

// recordSnapshot compares an installed or loaded snapshot with the entry that
// it ends at.
func (c *checker) recordSnapshot(id sardine.NodeID, index uint64, r entryResult) {
	previous, known := c.results[index]
	if known && previous != r {
		c.fail("snapshot %d: %s holds %+v, another member applied %+v", index, id, r, previous)
	}
}

// recordLeader records the leader of a term. There must be only one.
func (c *checker) recordLeader(id sardine.NodeID, term uint64) {
	previous, known := c.leaders[term]
	if known && previous != id {
		c.fail("%s and %s lead in term %d", previous, id, term)
	}
	c.leaders[term] = id
}

// recordSent records the vote that a member sends, if the message is one.
func (c *checker) recordSent(m quorum.Message) {
	switch {
	case m.Kind == quorum.Vote:
		c.recordVote(m.From, m.From, m.Term)
	case m.Kind == quorum.VoteReply && !m.Reject:
		c.recordVote(m.From, m.To, m.Term)
	}
}

// recordVote records a vote. A member must have only one in a term.
func (c *checker) recordVote(voter, candidate sardine.NodeID, term uint64) {
	name := voteKey{voter: voter, term: term}
	previous, known := c.votes[name]
	if known && previous != candidate {
		c.fail("%s voted for %s and for %s in term %d", voter, previous, candidate, term)
	}
	c.votes[name] = candidate
}

// checkRead checks a confirmed read. The highest entry that a member had
// applied when the read began is floor.
func (c *checker) checkRead(id sardine.NodeID, index, floor uint64) {
	if index < floor {
		c.fail("%s confirmed a read at %d though %d was committed before", id, index, floor)
	}
}
