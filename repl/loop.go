package repl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// batchItems bounds the inputs that the core handles before its outputs are
// performed.
const batchItems = 512

// coreLoop passes inputs to the core and its outputs to the other loops.
func (n *Node) coreLoop() error {
	clock := n.settings.clock
	var tickCh <-chan sardine.Millis
	var tickAt sardine.Millis
	for {
		if err := n.runBatch(); err != nil {
			return err
		}
		if next := n.nextTick(); tickCh == nil || next < tickAt {
			tickAt = next
			tickCh = clock.After(max(next-clock.Now(), 0))
		}
		select {
		case <-n.tomb.Dying():
			n.rejectQueuedRequests()
			return nil
		case <-tickCh:
			tickCh = nil
			n.locked(func(now sardine.Millis) { n.core.Tick(now) })
		case <-n.syncedCh:
		case <-n.transferCh:
			n.locked(func(now sardine.Millis) { n.core.TransferLeadership(now) })
		case batch := <-n.inbox.Items():
			n.locked(func(now sardine.Millis) { n.step(now, batch) })
		case r := <-n.requestItems():
			n.locked(func(now sardine.Millis) { n.handleRequest(now, r) })
		}
	}
}

// requestItems returns nil, which blocks a receive, while the disk or the applied
// state lags behind. Calls then wait in their bounded ring, and heartbeats
// continue.
func (n *Node) requestItems() <-chan *request {
	if n.writes.Len() > diskItems/2 || n.applies.Len() > applyItems/2 {
		return nil
	}
	return n.requests.Items()
}

func (n *Node) locked(f func(now sardine.Millis)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.settings.clock.Now())
}

func (n *Node) nextTick() sardine.Millis {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.NextTick()
}

// runBatch handles the queued inputs, then performs the outputs of the batch.
func (n *Node) runBatch() error {
	n.locked(n.drainInputs)
	n.mu.Lock()
	out := n.core.Take()
	job := n.applyJob(out)
	n.mu.Unlock()
	if out.Err != nil {
		return out.Err
	}
	n.publish()
	return n.perform(out, job)
}

func (n *Node) drainInputs(now sardine.Millis) {
	n.core.Synced(now, n.synced.Load())
	for range batchItems {
		select {
		case batch := <-n.inbox.Items():
			n.step(now, batch)
		case r := <-n.requestItems():
			n.handleRequest(now, r)
		default:
			return
		}
	}
}

func (n *Node) step(now sardine.Millis, batch []quorum.Message) {
	for _, m := range batch {
		n.core.Step(now, m)
	}
}

// handleRequest passes a request to the core. The caller holds mu.
func (n *Node) handleRequest(now sardine.Millis, r *request) {
	if !r.stage.CompareAndSwap(requestQueued, requestAccepted) {
		return
	}
	n.updateLeadership(n.core.IsLeader())
	if n.leadershipLost != nil && r.accepted != nil {
		r.accepted <- n.leadershipLost
	}
	switch r.kind {
	case proposeRequest:
		n.propose(now, r)
	case confirmRequest:
		ticket, err := n.core.ConfirmLeadership(now)
		if err != nil {
			r.fail(err)
			return
		}
		n.tickets[ticket] = r
	case changeRequest:
		position, err := n.core.ChangeMember(now, r.change)
		n.trackAppended(r, position, err)
	case transferRequest:
		n.core.TransferLeadership(now)
	}
}

// propose appends a command with a timestamp. Timestamps never decrease within
// the log, even if this node's wall clock is behind the previous leader's.
func (n *Node) propose(now sardine.Millis, r *request) {
	if !n.core.IsLeader() {
		_, err := n.core.Propose(now, nil)
		r.fail(err)
		return
	}
	timestamp := max(n.lastTimestamp, n.settings.wallTime())
	data, err := state.EncodeCommand(timestamp, r.command)
	if err != nil {
		r.fail(err)
		return
	}
	position, err := n.core.Propose(now, data)
	if err == nil {
		n.lastTimestamp = timestamp
	}
	n.trackAppended(r, position, err)
}

// trackAppended queues a request whose entry was appended, for applyLoop to
// complete once the entry is applied.
func (n *Node) trackAppended(r *request, p quorum.Position, err error) {
	if err != nil {
		r.fail(err)
		return
	}
	r.position = p
	n.appended = append(n.appended, r)
}

// applyJob converts outputs of the core into work for applyLoop. The caller holds
// mu.
func (n *Node) applyJob(out quorum.Output) applyJob {
	job := applyJob{restore: out.Restore, entries: out.Committed, waiters: n.appended}
	n.appended = nil
	n.updateTimestamp(out)
	for _, read := range out.Reads {
		r := n.tickets[read.Ticket]
		delete(n.tickets, read.Ticket)
		if r == nil {
			continue
		}
		if !read.Confirmed {
			r.fail(codes.New(codes.NotLeader, "the leadership of %s ended before a quorum confirmed it", n.settings.id))
			continue
		}
		r.position = quorum.Position{Index: read.Index, Term: read.Term}
		job.reads = append(job.reads, r)
	}
	return job
}

// updateTimestamp raises lastTimestamp to the highest timestamp that the outputs
// add to the log, so that a follower that becomes leader continues from it.
func (n *Node) updateTimestamp(out quorum.Output) {
	if out.Restore != nil {
		n.lastTimestamp = max(n.lastTimestamp, snapshotTimestamp(out.Restore.Data))
	}
	for _, e := range out.Write.Entries {
		n.lastTimestamp = max(n.lastTimestamp, entryTimestamp(e))
	}
}

// perform sends messages and queues work for the other loops. Messages that need
// no durable write are sent first, without waiting for this node's disk.
func (n *Node) perform(out quorum.Output, job applyJob) error {
	ctx := n.tomb.Context(context.Background())
	chunks := n.sendAll(out.Messages)
	if !out.Write.Empty() || len(chunks) > 0 {
		n.writes.Push(ctx, diskJob{write: out.Write, chunks: chunks})
	}
	if !job.empty() {
		n.applies.Push(ctx, job)
	}
	return nil
}

// sendAll sends messages in one batch for each receiver. It returns the snapshot
// chunks, for diskLoop to fill in their data and send them.
func (n *Node) sendAll(messages []quorum.Message) (chunks []quorum.Message) {
	batches := make(map[sardine.NodeID][]quorum.Message)
	for _, m := range messages {
		if m.Kind == quorum.Install && m.Chunk.Data == nil && m.Chunk.Total > 0 {
			chunks = append(chunks, m)
			continue
		}
		batches[m.To] = append(batches[m.To], m)
	}
	for to, batch := range batches {
		n.settings.link.Send(to, batch)
	}
	return chunks
}

// rejectQueuedRequests fails the queued calls when the core stops.
func (n *Node) rejectQueuedRequests() {
	for {
		select {
		case r := <-n.requests.Items():
			if r.stage.CompareAndSwap(requestQueued, requestAbandoned) {
				r.fail(codes.New(codes.NoQuorum, "control node %s is stopping", n.settings.id))
			}
		default:
			return
		}
	}
}

// publish makes changes of the leader and of the member list visible to other
// goroutines and to the link.
func (n *Node) publish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := n.core.Members()
	if old := n.members.Load(); old == nil || !sameMembers(*old, members) {
		n.members.Store(&members)
		if w, ok := n.settings.link.(MemberWatcher); ok {
			w.SetMembers(members)
		}
	}
	info := newLeaderInfo(n.settings.id, n.core.Leadership(), members)
	old := n.info.Load()
	if old != nil && *old == info {
		return
	}
	n.info.Store(&info)
	n.updateLeadership(info.IsLeader)
	if info.ID != "" && (old == nil || old.ID != info.ID || old.Term != info.Term) {
		event.Log(n.settings.logger, event.LeaderChanged, attrString("leader", string(info.ID)), attrUint("term", info.Term))
	}
}

// updateLeadership closes leadershipLost when this node's leadership ends, and
// creates it when one begins. The caller holds mu.
func (n *Node) updateLeadership(leading bool) {
	if n.leadershipLost != nil && (!leading || n.leadershipTerm != n.core.Term()) {
		close(n.leadershipLost)
		n.leadershipLost = nil
	}
	if leading && n.leadershipLost == nil {
		n.leadershipLost = make(chan struct{})
		n.leadershipTerm = n.core.Term()
	}
}
