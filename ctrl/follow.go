package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/repl"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// polls connects the goroutines of follow requests with the follow server. The mutex
// of the leadership guards its fields.
type polls struct {
	server   *follow.Server
	waiting  map[uint64]chan follow.Reply
	nextID   uint64
	fedIndex uint64 // log index up to which the server has the updates
}

func newPolls(server *follow.Server) *polls {
	return &polls{server: server, waiting: make(map[uint64]chan follow.Reply)}
}

// Follow answers an entry node's long poll.
func (n *Node) Follow(ctx context.Context, w *wire.FollowRequest) (*wire.FollowReply, error) {
	r := follow.RequestFromWire(w)
	id, ready := n.leadership.addPoll(n.clock.Now(), r)
	if n.pump() {
		n.wakeFollowLoop()
	}
	if len(r.Reports) > 0 {
		n.wakeLeader()
	}
	select {
	case reply := <-ready:
		n.instruments.load.count(taskPoll, faultOf(reply))
		return follow.ReplyToWire(reply), nil
	case <-ctx.Done():
		n.leadership.cancelPoll(id)
		return nil, ctx.Err()
	case <-n.tomb.Dying():
		n.leadership.cancelPoll(id)
		fault := ctlapi.FaultOf(codes.New(codes.Draining, "this control node is stopping"))
		return &wire.FollowReply{Fault: fault}, nil
	}
}

// faultOf returns the fault of a reply as an error, nil for none.
func faultOf(r follow.Reply) error {
	if r.Fault == nil {
		return nil
	}
	return codes.New(r.Fault.Code, "%s", r.Fault.Detail)
}

func (l *leadership) addPoll(now sardine.Millis, r follow.Request) (uint64, chan follow.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ready := make(chan follow.Reply, 1)
	l.polls.nextID++
	id := l.polls.nextID
	l.polls.waiting[id] = ready
	l.polls.server.HandleRequest(now, id, r)
	if l.term != 0 {
		l.mergeReports(now, r)
	}
	return id, ready
}

func (l *leadership) cancelPoll(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.polls.waiting, id)
	l.polls.server.CancelRequest(id)
}

// mergeReports merges the target reports of home nodes into the fleet.
func (l *leadership) mergeReports(now sardine.Millis, r follow.Request) {
	for _, report := range r.Reports {
		ack := l.fleet.Merge(now, reportOf(report))
		if ack.WantFull {
			l.polls.server.WantFull(report.Home)
		}
	}
}

// reportOf converts a report of a follow request to a fleet report.
func reportOf(r follow.TargetReport) fleet.Report {
	mapped := fleet.Report{
		Home:        r.Home,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Full:        r.Full,
	}
	for _, t := range r.Targets {
		mapped.Statuses = append(mapped.Statuses, fleet.Status{Announcement: announcementOf(t), Age: t.Age})
	}
	for _, ref := range r.Lost {
		mapped.Lost = append(mapped.Lost, fleet.Ref{VM: ref.VM, Incarnation: ref.Incarnation})
	}
	return mapped
}

func announcementOf(t follow.TargetStatus) sardine.Announcement {
	return sardine.Announcement{
		VM:           t.Target.VM,
		Incarnation:  t.Target.Incarnation,
		Kind:         t.Target.Kind,
		Address:      t.Target.Address,
		DataCentre:   t.Target.DataCentre,
		Domain:       t.Target.Domain,
		Accelerators: t.Target.Accelerators,
		Service:      t.Target.Service,
		Loadable:     t.Target.Loadable,
		ChecksEpoch:  t.Target.ChecksEpoch,
		Leaving:      t.Target.Leaving,
		CurrentOrder: t.CurrentOrder,
		Load:         t.Load,
		Staged:       t.Staged,
		Sequence:     t.Sequence,
	}
}

// pump starts a quorum round for new polls and sends the follow server's answers
// that are ready. It reports whether polls wait for a later round.
func (n *Node) pump() (waiting bool) {
	var ids []uint64
	n.log.View(func(m *state.Machine) {
		ids, waiting = n.leadership.pump(n.clock.Now(), m)
	})
	if len(ids) > 0 {
		n.instruments.load.count(taskQuorumRound, nil)
		n.quorumRounds.Go(func() { n.confirmPolls(ids) })
	}
	return waiting
}

// wakeFollowLoop makes the follow loop check when the polls are due.
func (n *Node) wakeFollowLoop() {
	select {
	case n.pollsWake <- struct{}{}:
	default: // a check is already pending
	}
}

// confirmPolls runs a quorum round and then grants the leases that the polls request.
// The ledger catches up first, so that a node that has joined meanwhile is not
// rejected.
func (n *Node) confirmPolls(ids []uint64) {
	ctx, cancel := context.WithTimeout(n.runCtx, n.timing.ProposeTimeout.Duration())
	defer cancel()
	confirmed := follow.Confirmation{At: n.clock.Now()}
	index, term, err := n.log.ConfirmLeadership(ctx)
	if err != nil {
		n.leadership.pollsFailed(ids, err)
	} else {
		confirmed.Index = index
		n.log.View(func(m *state.Machine) {
			n.leadership.pollsConfirmed(n.clock.Now(), term, m, confirmed, ids)
		})
		n.leasesGranted.notify()
	}
	n.pump()
}

func (l *leadership) pump(now sardine.Millis, m *state.Machine) (ids []uint64, waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.viewed = m
	defer func() { l.viewed = nil }()
	ids = l.polls.server.TakeUnconfirmed(now)
	l.polls.server.Tick(now)
	for _, a := range l.polls.server.TakeReplies() {
		if ready := l.polls.waiting[a.ID]; ready != nil {
			delete(l.polls.waiting, a.ID)
			ready <- a.Reply
		}
	}
	return ids, l.polls.server.HasUnconfirmed()
}

// entrySnapshot returns a snapshot for an entry node. The follow server calls it within
// pump, whose caller holds the lock of the state.
func (l *leadership) entrySnapshot() ([]byte, uint64, error) {
	b, err := l.viewed.EntrySnapshot()
	return b, l.viewed.Index(), err
}

func (l *leadership) pollsFailed(ids []uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls.server.FailPolls(ids, codes.Of(err), err.Error())
}

func (l *leadership) pollsConfirmed(now sardine.Millis, term uint64, m *state.Machine, c follow.Confirmation, ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.polls.server.FailPolls(ids, codes.NotLeader, "the leadership has changed")
		return
	}
	l.catchUp(m, cutPolicyOf)
	l.polls.server.ConfirmPolls(now, c, ids)
	for _, ref := range l.polls.server.TakeGranted() {
		if ack := l.fleet.RecordContact(now, ref.Node, ref.Incarnation); ack.WantFull {
			l.polls.server.WantFull(ref.Node)
		}
	}
}

// followLoop passes the log's updates to the follow server and answers polls whose
// hold time has passed, until the node stops.
func (n *Node) followLoop() error {
	for {
		changed := n.log.Changed()
		n.feed()
		n.pump()
		select {
		case <-n.tomb.Dying():
			return nil
		case <-changed:
		case <-n.pollsWake:
		case <-n.clock.After(n.leadership.pollWait(n.clock.Now())):
		}
	}
}

// Bounds on the wait until the polls are checked again.
const (
	minPollWait = 5 * sardine.Millis(1)
	maxPollWait = 100 * sardine.Millis(1)
)

func (l *leadership) pollWait(now sardine.Millis) sardine.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(l.polls.server.Wake()-now, minPollWait), maxPollWait)
}

// feed passes to the follow server what was applied since the last call.
func (n *Node) feed() {
	for {
		from := n.leadership.feedIndex()
		updates, through, ok := n.log.Updates(from, updateBatch)
		if !ok {
			n.leadership.resetFeed(n.log.Applied())
			return
		}
		if through <= from {
			return
		}
		n.leadership.feed(updates, through)
	}
}

func (l *leadership) feedIndex() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.polls.fedIndex
}

func (l *leadership) resetFeed(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls.server.Restored(index)
	l.polls.fedIndex = index
}

func (l *leadership) feed(updates []repl.Applied, through uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range updates {
		l.polls.server.Applied(a.Index, a.At, a.Command)
	}
	l.polls.server.Applied(through, 0, nil)
	l.polls.fedIndex = through
}
