package trial

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// fact is what the members must agree on for one log entry.
type fact struct {
	term    uint64
	state   uint64 // digest of the state after it
	members string // list in force after it
}

// ballot names a voter's vote in a term.
type ballot struct {
	voter sardine.NodeID
	term  uint64
}

// book records what every member did and notices contradictions.
type book struct {
	facts     map[uint64]fact
	highest   uint64 // highest entry applied anywhere
	leaders   map[uint64]sardine.NodeID
	ballots   map[ballot]sardine.NodeID
	violation string
}

func newBook() *book {
	return &book{
		facts:   make(map[uint64]fact),
		leaders: make(map[uint64]sardine.NodeID),
		ballots: make(map[ballot]sardine.NodeID),
	}
}

func (b *book) fail(format string, args ...any) {
	if b.violation == "" {
		b.violation = fmt.Sprintf(format, args...)
	}
}

// apply notes an applied entry.
func (b *book) apply(id sardine.NodeID, index uint64, f fact) {
	old, known := b.facts[index]
	if known && old != f {
		b.fail("entry %d: %s applied %+v, another member %+v", index, id, f, old)
	}
	b.facts[index] = f
	b.highest = max(b.highest, index)
}

// restore notes an installed or loaded snapshot.
func (b *book) restore(id sardine.NodeID, index uint64, f fact) {
	old, known := b.facts[index]
	if known && old != f {
		b.fail("snapshot %d: %s holds %+v, another member applied %+v", index, id, f, old)
	}
}

// lead notes a leader.
func (b *book) lead(id sardine.NodeID, term uint64) {
	old, known := b.leaders[term]
	if known && old != id {
		b.fail("%s and %s lead in term %d", old, id, term)
	}
	b.leaders[term] = id
}

// send notes the votes among the messages that leave a member.
func (b *book) send(m quorum.Message) {
	switch {
	case m.Kind == quorum.Vote:
		b.vote(m.From, m.From, m.Term)
	case m.Kind == quorum.VoteReply && !m.Reject:
		b.vote(m.From, m.To, m.Term)
	}
}

func (b *book) vote(voter, candidate sardine.NodeID, term uint64) {
	name := ballot{voter: voter, term: term}
	old, known := b.ballots[name]
	if known && old != candidate {
		b.fail("%s voted for %s and for %s in term %d", voter, old, candidate, term)
	}
	b.ballots[name] = candidate
}

// read notes a confirmed read that began when floor was the highest entry
// applied anywhere.
func (b *book) read(id sardine.NodeID, index, floor uint64) {
	if index < floor {
		b.fail("%s confirmed a read at %d though %d was committed before", id, index, floor)
	}
}
