package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// reads shares one heartbeat round among all calls that came before it started.
type reads struct {
	round   uint64   // last round started
	ticket  uint64   // last ticket given
	asking  []uint64 // tickets of the round under way
	waiting []uint64 // tickets of the next round
}

// Confirm asks for proof that this node leads now. The answer with the returned
// ticket comes in Output.Reads. A quorum round that starts after the call is
// used rather than a lease: a lease would rest on the drift of all members'
// clocks while a VM may be paused for any time.
func (c *Core) Confirm(now sardine.Millis) (ticket uint64, err error) {
	if err := c.mayPropose(now); err != nil {
		return 0, err
	}
	c.reads.ticket++
	c.reads.waiting = append(c.reads.waiting, c.reads.ticket)
	if c.defects.UnconfirmedRead {
		c.answerReads(c.reads.waiting, true)
		c.reads.waiting = nil
	}
	c.startRound()
	return c.reads.ticket, nil
}

// startRound begins a round for the waiting tickets, if none is under way.
func (c *Core) startRound() {
	if len(c.reads.asking) > 0 || len(c.reads.waiting) == 0 {
		return
	}
	c.reads.asking = c.reads.waiting
	c.reads.waiting = nil
	c.reads.round++
	for _, n := range c.others() {
		c.sendHeartbeat(n, c.peers[n])
	}
	c.checkReads()
}

// checkReads answers the round under way once a quorum has taken part and an
// entry of this term is committed: before that, the leader may not know all
// that is committed.
func (c *Core) checkReads() {
	if c.role != Leader || len(c.reads.asking) == 0 || c.commit < c.firstOfTerm {
		return
	}
	reached := c.quorum(func(n sardine.NodeID) bool {
		return n == c.id || c.peers[n].round >= c.reads.round
	})
	if !reached {
		return
	}
	c.answerReads(c.reads.asking, true)
	c.reads.asking = nil
	c.startRound()
}

func (c *Core) failReads() {
	c.answerReads(c.reads.asking, false)
	c.answerReads(c.reads.waiting, false)
	c.reads.asking = nil
	c.reads.waiting = nil
}

func (c *Core) answerReads(tickets []uint64, confirmed bool) {
	for _, t := range tickets {
		c.out.Reads = append(c.out.Reads, Read{Ticket: t, Confirmed: confirmed, Index: c.commit, Term: c.hard.Term})
	}
}
