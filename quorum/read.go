package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// reads lets all ConfirmLeadership calls made before a heartbeat round starts share
// that round.
type reads struct {
	round  uint64   // number of the last round started
	ticket uint64   // last ticket issued
	active []uint64 // tickets of the current round
	queued []uint64 // tickets of the next round
}

// ConfirmLeadership requests proof that this node is the leader. The result, with the
// returned ticket, follows in Output.Reads. It requires a quorum round that
// starts after the call instead of a lease: a lease would depend on a bounded
// clock drift between the members, while a VM may be paused for any time.
func (c *Core) ConfirmLeadership(now sardine.Millis) (ticket uint64, err error) {
	if err := c.mayPropose(now); err != nil {
		return 0, err
	}
	c.reads.ticket++
	c.reads.queued = append(c.reads.queued, c.reads.ticket)
	if c.defects.UnconfirmedRead {
		c.answerReads(c.reads.queued, true)
		c.reads.queued = nil
	}
	c.startRound()
	return c.reads.ticket, nil
}

// startRound starts a round for the queued tickets unless one is in progress.
func (c *Core) startRound() {
	if len(c.reads.active) > 0 || len(c.reads.queued) == 0 {
		return
	}
	c.reads.active = c.reads.queued
	c.reads.queued = nil
	c.reads.round++
	for _, n := range c.others() {
		c.sendHeartbeat(n, c.peers[n])
	}
	c.checkReads()
}

// checkReads completes the current round once a quorum has replied and an entry
// of this term is committed: before that, the leader's commit index may lag
// behind entries that an earlier leader committed.
func (c *Core) checkReads() {
	if c.role != Leader || len(c.reads.active) == 0 || c.commit < c.firstOfTerm {
		return
	}
	reached := c.quorum(func(n sardine.NodeID) bool {
		return n == c.id || c.peers[n].ackedRound >= c.reads.round
	})
	if !reached {
		return
	}
	c.answerReads(c.reads.active, true)
	c.reads.active = nil
	c.startRound()
}

func (c *Core) failReads() {
	c.answerReads(c.reads.active, false)
	c.answerReads(c.reads.queued, false)
	c.reads.active = nil
	c.reads.queued = nil
}

func (c *Core) answerReads(tickets []uint64, confirmed bool) {
	for _, t := range tickets {
		c.out.Reads = append(c.out.Reads, Read{Ticket: t, Confirmed: confirmed, Index: c.commit, Term: c.hard.Term})
	}
}
