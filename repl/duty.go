package repl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// batchItems bounds how many inputs the core takes before its outputs are
// performed.
const batchItems = 512

// coreDuty feeds the core and hands its outputs to the other duties.
func (n *Node) coreDuty() error {
	clock := n.settings.clock
	var wake <-chan sardine.Millis
	var wakeAt sardine.Millis
	for {
		if err := n.turn(); err != nil {
			return err
		}
		if next := n.nextTick(); wake == nil || next < wakeAt {
			wakeAt = next
			wake = clock.After(max(next-clock.Now(), 0))
		}
		select {
		case <-n.tomb.Dying():
			n.dropRequests()
			return nil
		case <-wake:
			wake = nil
			n.locked(func(now sardine.Millis) { n.core.Tick(now) })
		case <-n.syncedCh:
		case batch := <-n.inbox.Items():
			n.locked(func(now sardine.Millis) { n.step(now, batch) })
		case r := <-n.requestItems():
			n.locked(func(now sardine.Millis) { n.take(now, r) })
		}
	}
}

// requestItems returns nil while the disk lags, so that calls wait in their ring
// rather than in memory and heartbeats go on.
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

// turn takes all inputs that wait, then performs the outputs of the batch.
func (n *Node) turn() error {
	n.locked(n.drain)
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

func (n *Node) drain(now sardine.Millis) {
	n.core.Synced(now, n.synced.Load())
	for range batchItems {
		select {
		case batch := <-n.inbox.Items():
			n.step(now, batch)
		case r := <-n.requestItems():
			n.take(now, r)
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

// take hands a request to the core. The caller holds mu.
func (n *Node) take(now sardine.Millis, r *request) {
	if !r.stage.CompareAndSwap(requestQueued, requestTaken) {
		return
	}
	n.noteLeadership(n.core.Leads())
	if n.lost != nil {
		r.taken <- n.lost
	}
	switch r.kind {
	case askPropose:
		n.propose(now, r)
	case askConfirm:
		ticket, err := n.core.Confirm(now)
		if err != nil {
			r.fail(err)
			return
		}
		n.tickets[ticket] = r
	case askChange:
		position, err := n.core.ChangeMember(now, r.change)
		n.await(r, position, err)
	case askHandOver:
		n.core.HandOver(now)
	}
}

// propose stamps and appends a command. Stamps never fall within the log, also
// when this node's wall clock is behind the last leader's.
func (n *Node) propose(now sardine.Millis, r *request) {
	if !n.core.Leads() {
		_, err := n.core.Propose(now, nil)
		r.fail(err)
		return
	}
	stamp := max(n.stamp, n.settings.wallTime())
	data, err := state.EncodeCommand(stamp, r.command)
	if err != nil {
		r.fail(err)
		return
	}
	position, err := n.core.Propose(now, data)
	if err == nil {
		n.stamp = stamp
	}
	n.await(r, position, err)
}

// await keeps an appended request until its entry is applied.
func (n *Node) await(r *request, p quorum.Position, err error) {
	if err != nil {
		r.fail(err)
		return
	}
	r.position = p
	n.awaiting = append(n.awaiting, r)
}

// applyJob turns outputs into work for the state's duty. The caller holds mu.
func (n *Node) applyJob(out quorum.Output) applyJob {
	job := applyJob{restore: out.Restore, entries: out.Committed, waiters: n.awaiting}
	n.awaiting = nil
	n.noteStamps(out)
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

// noteStamps follows the highest stamp of the log as a follower.
func (n *Node) noteStamps(out quorum.Output) {
	if out.Restore != nil {
		n.stamp = max(n.stamp, snapshotStamp(out.Restore.Data))
	}
	for _, e := range out.Write.Entries {
		n.stamp = max(n.stamp, stampOf(e))
	}
}

// perform hands the outputs on. Messages that may leave at once do so before
// this node's own disk is waited for.
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

// sendAll sends messages in one batch for each receiver. It returns snapshot
// chunks, whose data the disk's duty fills in.
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

// dropRequests answers the calls that the core will not take up any more.
func (n *Node) dropRequests() {
	for {
		select {
		case r := <-n.requests.Items():
			if r.stage.CompareAndSwap(requestQueued, requestLeft) {
				r.fail(codes.New(codes.NoQuorum, "control node %s stops", n.settings.id))
			}
		default:
			return
		}
	}
}

// publish makes changes of the leader and the members visible.
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
	next := n.core.Leadership()
	old := n.info.Load()
	if old != nil && old.same(next) {
		return
	}
	info := newLeaderInfo(n.settings.id, next, members)
	n.info.Store(&info)
	n.noteLeadership(info.Leading)
	if info.ID != "" && (old == nil || old.ID != info.ID || old.Term != info.Term) {
		event.Log(n.settings.logger, event.LeaderChanged, attrString("leader", string(info.ID)), attrUint("term", info.Term))
	}
}

// noteLeadership closes the lost channel when a leadership ends. The caller
// holds mu.
func (n *Node) noteLeadership(leading bool) {
	if n.lost != nil && (!leading || n.lostTerm != n.core.Term()) {
		close(n.lost)
		n.lost = nil
	}
	if leading && n.lost == nil {
		n.lost = make(chan struct{})
		n.lostTerm = n.core.Term()
	}
}
