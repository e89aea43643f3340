package entry

import (
	"context"
	"log/slog"
	"net/http"
	"runtime"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// followQueue is the capacity of the follow loop's event queue. Senders block
// when it is full; their number is bounded, because each has a request in
// progress.
const followQueue = 256

// fullReportInterval is the time between full target reports. The leader asks
// for one when it detects a gap; the periodic ones cover errors that no check
// detects. At 350 nodes, one every 30 s would be most of the bytes that the
// leader receives.
const fullReportInterval = 300 * sardine.Second

// followEvent is an input of the follow loop.
type followEvent interface {
	followEvent()
}

// pollDone is the result of a poll that the loop sent.
type pollDone struct {
	address  string
	sequence uint64
	reply    follow.Reply
	err      error
	reports  uint64 // sequence of the target report in the poll, 0 for none
}

// childPoll is a poll by another entry node that follows through this one.
type childPoll struct {
	id      uint64
	request follow.Request
	ready   chan follow.Reply
}

// childCanceled reports that the sender of a childPoll no longer waits.
type childCanceled struct {
	id uint64
}

// inspection calls look with the followed state, then closes done.
type inspection struct {
	look func(m *state.Machine)
	done chan struct{}
}

// leaveRequest makes the loop drop the lease, because the node has stopped
// serving. Done is closed afterwards.
type leaveRequest struct {
	done chan struct{}
}

// controlsChanged carries the addresses of the control nodes.
type controlsChanged struct {
	addresses []string
}

func (controlsChanged) followEvent() {}
func (pollDone) followEvent()        {}
func (childPoll) followEvent()       {}
func (childCanceled) followEvent()   {}
func (leaveRequest) followEvent()    {}
func (inspection) followEvent()      {}

// published is what requests are served from: the view and the lease that was
// computed with it.
type published struct {
	view    *view
	lease   follow.Lease
	freshAt sardine.Millis // when a leader last confirmed the view as current, 0 before the first time
}

// denial returns the error for a request that the settings do not allow. If no
// leader has confirmed the settings lately, newer ones may allow the request,
// so the error is one that the caller retries.
func (p *published) denial(now sardine.Millis, err error) error {
	if age := now - p.freshAt; age > follow.MaxStaleness {
		return codes.New(codes.NoLease, "%v, according to settings that are %d ms old", err, age)
	}
	return err
}

// follower runs the follow core: it sends its polls and publishes the result.
type follower struct {
	node            *Node
	core            *follow.Follower
	events          *ring.Ring[followEvent]
	wake            chan struct{}
	client          *http.Client
	children        map[uint64]chan follow.Reply
	lastFull        sardine.Millis
	serving         bool
	joining         bool
	joined          chan error
	layoutTable     *paths.Table   // for the newest layout
	failureLoggedAt sardine.Millis // when a failed poll was last logged
	failingSince    sardine.Millis // since when polls fail, 0 while they succeed
	staleSince      sardine.Millis // last confirmation by a leader, 0 while it is recent
	running         sync.WaitGroup

	mu     sync.Mutex
	nextID uint64
}

func newFollower(n *Node) *follower {
	self := follow.NodeRef{Node: n.id, Incarnation: n.incarnation}
	timing := follow.DefaultTiming()
	timing.PollHold = n.timing.PollHold
	return &follower{
		node:     n,
		core:     follow.NewFollower(self, n.advertiseInternal, n.controls, n.random, follow.WithTiming(timing)),
		events:   ring.New[followEvent](followQueue, ring.Block),
		wake:     make(chan struct{}, 1),
		client:   n.internalClient,
		children: make(map[uint64]chan follow.Reply),
		joined:   make(chan error, 1),
	}
}

// Follow answers a poll by another entry node that follows through this one. It
// implements wire.Relay.
func (f *follower) Follow(ctx context.Context, w *wire.FollowRequest) (*wire.FollowReply, error) {
	f.mu.Lock()
	f.nextID++
	id := f.nextID
	f.mu.Unlock()
	ready := make(chan follow.Reply, 1)
	if !f.events.Push(ctx, childPoll{id: id, request: follow.RequestFromWire(w), ready: ready}) {
		return nil, ctx.Err()
	}
	select {
	case reply := <-ready:
		return follow.ReplyToWire(reply), nil
	case <-ctx.Done():
		f.events.Push(f.node.baseCtx, childCanceled{id: id})
		return nil, ctx.Err()
	case <-f.node.baseCtx.Done():
		return nil, codes.New(codes.Draining, "this entry node is stopping")
	}
}

// run is the follow loop. It owns the core.
func (f *follower) run() error {
	defer f.running.Wait()
	f.publish()
	for {
		now := f.node.clock.Now()
		reports := f.report(now)
		for ask, more := f.core.Next(now); more; ask, more = f.core.Next(now) {
			if len(ask.Request.Reports) == 0 { // of a hedge
				f.send(ask, 0)
				continue
			}
			f.send(ask, reports)
			reports = 0
		}
		f.answerChildren()
		f.logLeaseChange(now)
		f.logAge(now)
		select {
		case <-f.node.tomb.Dying():
			return nil
		case e := <-f.events.Items():
			if err := f.handle(e); err != nil {
				return err
			}
		case err := <-f.joined:
			f.joining = false
			if codes.Is(err, codes.Superseded) {
				return err
			}
		case <-f.wake:
		case <-f.node.clock.After(min(max(f.core.Wake()-now, 1), sardine.Second)):
		}
	}
}

// logPollResult logs when polls begin to fail, at most each second while they
// do, and when they succeed again.
func (f *follower) logPollResult(now sardine.Millis, e pollDone) {
	err := e.err
	if err == nil && e.reply.Fault != nil {
		err = codes.New(e.reply.Fault.Code, "%s, leader %q", e.reply.Fault.Detail, e.reply.Fault.Leader)
	}
	switch {
	case err != nil:
		if f.failingSince == 0 {
			f.failingSince = now
		} else if now < f.failureLoggedAt+sardine.Second {
			return
		}
		f.failureLoggedAt = now
		event.Log(f.node.log, event.FollowLost, slog.String("address", e.address), codeAttr(err))
	case f.failingSince != 0:
		event.Log(f.node.log, event.FollowRegained, slog.String("address", e.address), slog.Int64("after_ms", int64(now-f.failingSince)))
		f.failingSince = 0
	}
}

func (f *follower) handle(e followEvent) error {
	now := f.node.clock.Now()
	switch e := e.(type) {
	case pollDone:
		return f.pollEnded(now, e)
	case childPoll:
		f.children[e.id] = e.ready
		f.core.Relay().HandleRequest(now, e.id, e.request)
	case childCanceled:
		delete(f.children, e.id)
		f.core.Relay().CancelRequest(e.id)
	case inspection:
		e.look(f.core.Machine())
		close(e.done)
	case controlsChanged:
		f.core.SetControls(e.addresses)
	case leaveRequest:
		f.core.Leave()
		f.publish()
		close(e.done)
	}
	return nil
}

func (f *follower) pollEnded(now sardine.Millis, e pollDone) error {
	f.logPollResult(now, e)
	if e.err != nil {
		f.core.HandleFailure(now, e.sequence)
		return nil
	}
	outcome, err := f.core.HandleReply(now, e.sequence, e.reply)
	if err != nil {
		return err
	}
	if outcome.Superseded {
		return codes.New(codes.Superseded, "a later incarnation of entry node %s has joined", f.node.id)
	}
	f.answerChildren()
	runtime.Gosched() // lets the replies go out before this goroutine parses a settings document
	if e.reply.Fault == nil {
		f.node.ackReport(fleet.Ack{Sequence: e.reports, WantFull: outcome.WantFull})
	}
	if outcome.Join {
		f.join()
	}
	f.publish()
	return nil
}

// publish makes the followed state effective for requests that arrive from now
// on.
func (f *follower) publish() {
	old := f.node.published.Load()
	m := f.core.Machine()
	v := (*view)(nil)
	if old != nil && old.view.index == m.Index() {
		v = old.view
	} else {
		v = f.newView(m)
	}
	f.node.published.Store(&published{view: v, lease: f.core.Lease(), freshAt: f.core.ConfirmedAt()})
	if f.node.retries != nil {
		f.node.retries.confirmed(f.core.ConfirmedAt())
	}
	f.core.MarkPublished(v.index)
	f.node.published.Store(&published{view: v, lease: f.core.Lease(), freshAt: f.core.ConfirmedAt()})
	if old == nil || old.view != v {
		f.node.gate.update(v)
		f.node.inFlight.leaveLost(f.node.clock.Now(), v, f.node.suspects())
		f.node.configureLimits(v)
		f.node.configureRouted(v)
	}
}

func (f *follower) newView(m *state.Machine) *view {
	var before *view
	if old := f.node.published.Load(); old != nil {
		before = old.view
	}
	v, failed := newView(m, f.node.id, f.table(m), before)
	for _, err := range failed {
		event.Log(f.node.log, event.DutyFailed, codeAttr(err))
	}
	return v
}

// table returns the routing table of the current layout, nil without a layout.
func (f *follower) table(m *state.Machine) *paths.Table {
	current := m.Layout()
	if f.node.layouts == nil || current.Number == 0 {
		return nil
	}
	if f.layoutTable != nil && f.layoutTable.Layout().Number == current.Number {
		return f.layoutTable
	}
	layout, err := f.parseLayout(current)
	if err != nil { // only an older program version can get here: the leader validates layouts before it accepts them
		event.Log(f.node.log, event.DutyFailed, codeAttr(err))
		return f.layoutTable
	}
	f.layoutTable = paths.New(layout)
	event.Log(f.node.log, event.LayoutInForce, slog.Uint64("number", layout.Number), slog.Int("routes", len(layout.Routes)))
	return f.layoutTable
}

func (f *follower) parseLayout(current state.PutLayout) (sardine.Layout, error) {
	document, err := current.Document()
	if err != nil {
		return sardine.Layout{}, err
	}
	return f.node.layouts.ParseLayout(document)
}

// logLeaseChange logs when the node gains or loses its serving lease.
func (f *follower) logLeaseChange(now sardine.Millis) {
	serving := f.core.Lease().Serving(now)
	if serving == f.serving {
		return
	}
	f.serving = serving
	id := event.LeaseLapsed
	if serving {
		id = event.LeaseGained
	}
	event.Log(f.node.log, id)
}

// logAge logs when the followed state becomes older than follow.MaxStaleness,
// beyond which the node may not pass it on to its followers, and when it is
// current again.
func (f *follower) logAge(now sardine.Millis) {
	freshAt := f.core.ConfirmedAt()
	if freshAt == 0 {
		return
	}
	age := now - freshAt
	switch stale := age > follow.MaxStaleness; {
	case stale && f.staleSince == 0:
		f.staleSince = freshAt
		event.Log(f.node.log, event.SettingsStale, slog.Int64("age_ms", int64(age)), slog.Uint64("index", f.core.Machine().Index()))
	case !stale && f.staleSince != 0:
		event.Log(f.node.log, event.SettingsFresh, slog.Int64("after_ms", int64(freshAt-f.staleSince)))
		f.staleSince = 0
	}
}

// report adds pending target changes to the next poll and returns the sequence
// of the report, 0 for none.
func (f *follower) report(now sardine.Millis) uint64 {
	if now-f.lastFull >= fullReportInterval {
		f.lastFull = now
		f.node.ackReport(fleet.Ack{WantFull: true})
	}
	sending := now >= f.core.Wake()
	r, pending := f.node.nextReport(now, sending)
	if !pending {
		return 0
	}
	f.core.Report(follow.ReportOf(r, !sending))
	return r.Sequence
}

// send starts a poll. Its result is pushed as a pollDone event.
func (f *follower) send(ask follow.OutgoingRequest, reports uint64) {
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.node.baseCtx, ask.Timeout.Duration())
		defer cancel()
		reply, err := f.call(ctx, ask)
		f.events.Push(f.node.baseCtx, pollDone{address: ask.Address, sequence: ask.Request.Sequence, reply: reply, err: err, reports: reports})
	})
}

func (f *follower) call(ctx context.Context, ask follow.OutgoingRequest) (follow.Reply, error) {
	request := follow.RequestToWire(ask.Request)
	var answer *wire.FollowReply
	var err error
	if ask.ToRelay {
		answer, err = wire.NewRelayProtobufClient(f.node.internalScheme+"://"+ask.Address, f.client).Follow(ctx, request)
	} else {
		answer, err = f.node.control.Stub(ask.Address).Follow(ctx, request)
	}
	if err != nil {
		return follow.Reply{}, err
	}
	return follow.ReplyFromWire(answer)
}

// join submits the node's JoinEntry command, one at a time.
func (f *follower) join() {
	if f.joining {
		return
	}
	f.joining = true
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.node.baseCtx, f.node.timing.Submit.Duration())
		defer cancel()
		_, err := f.node.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, state.JoinEntry{
			Node:        f.node.id,
			Incarnation: f.node.incarnation,
			Address:     f.node.advertiseInternal,
			DataCentre:  f.node.dataCentre,
		})})
		f.joined <- err
	})
}

// inspect calls look with the followed state, which look must not retain. It
// returns false if look was not called.
func (f *follower) inspect(ctx context.Context, look func(m *state.Machine)) bool {
	e := inspection{look: look, done: make(chan struct{})}
	if !f.events.Push(ctx, e) {
		return false
	}
	select {
	case <-e.done:
		return true
	case <-f.node.baseCtx.Done():
		return false
	}
}

// leave drops the lease and stops following.
func (f *follower) leave() {
	e := leaveRequest{done: make(chan struct{})}
	if !f.events.Push(f.node.baseCtx, e) {
		return
	}
	select {
	case <-e.done:
	case <-f.node.baseCtx.Done():
	}
}

func (f *follower) answerChildren() {
	for _, a := range f.core.Relay().TakeReplies() {
		if ready := f.children[a.ID]; ready != nil {
			delete(f.children, a.ID)
			ready <- a.Reply
		}
	}
}
