package repl

import (
	"context"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

type askKind uint8

const (
	askPropose askKind = iota + 1
	askConfirm
	askChange
	askHandOver
)

// The stages of a request.
const (
	requestQueued uint32 = iota
	requestTaken         // the core has seen it
	requestLeft          // its caller gave up before
)

// outcome answers a request.
type outcome struct {
	result state.Result
	index  uint64
	term   uint64
	err    error
}

// request is one call on its way through the duties.
type request struct {
	kind     askKind
	command  state.Command
	change   quorum.MemberChange
	stage    atomic.Uint32
	reply    chan outcome // room for one
	position quorum.Position
	taken    chan (<-chan struct{}) // room for one: closed when the leadership that took it ends
}

func newRequest(kind askKind) *request {
	return &request{kind: kind, reply: make(chan outcome, 1), taken: make(chan (<-chan struct{}), 1)}
}

// answer never blocks: only one answer is given.
func (r *request) answer(o outcome) {
	select {
	case r.reply <- o:
	default:
	}
}

func (r *request) fail(err error) {
	r.answer(outcome{err: err})
}

// submit queues a request; false means that it was surely not queued.
func (n *Node) submit(ctx context.Context, r *request) bool {
	select {
	case <-n.tomb.Dying():
		return false
	default:
	}
	return n.requests.Push(ctx, r)
}

// call queues a request and waits for its answer. When the leadership that took
// it ends, the next leader mostly settles it: so the call waits a little longer
// before it says that the outcome is unknown.
func (n *Node) call(ctx context.Context, r *request) outcome {
	if !n.submit(ctx, r) {
		return outcome{err: codes.New(codes.NoQuorum, "control node %s is busy or stops", n.settings.id)}
	}
	var lost <-chan struct{}
	var limit <-chan sardine.Millis
	for {
		select {
		case o := <-r.reply:
			return o
		case lost = <-r.taken:
		case <-lost:
			lost = nil
			limit = n.settings.clock.After(2 * n.settings.timing.ElectionMax)
		case <-limit:
			return r.leave(ctx)
		case <-ctx.Done():
			return r.leave(ctx)
		case <-n.tomb.Dying():
			return r.leave(ctx)
		}
	}
}

// leave ends the wait for an answer.
func (r *request) leave(ctx context.Context) outcome {
	if r.stage.CompareAndSwap(requestQueued, requestLeft) {
		return outcome{err: codes.New(codes.NoQuorum, "the control node did not take the call up in time")}
	}
	select {
	case o := <-r.reply:
		return o
	default:
	}
	if ctx.Err() != nil {
		return outcome{err: codes.Wrap(codes.OutcomeUnknown, ctx.Err(), "the call ended before its entry was committed")}
	}
	return outcome{err: codes.New(codes.OutcomeUnknown, "the leadership of this node ended before the entry was committed")}
}

// Propose appends a command and returns its result once it is committed and
// applied here. Errors: codes.NotLeader, codes.NoQuorum and codes.QueueFull: it
// was surely not and will not be applied; codes.OutcomeUnknown: it may be.
func (n *Node) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	r := newRequest(askPropose)
	r.command = c
	o := n.call(ctx, r)
	return o.result, o.err
}

// Confirm returns once a quorum has confirmed, after the call, that this node
// leads, and all that was committed before the call is applied here. Errors:
// codes.NotLeader, codes.NoQuorum.
func (n *Node) Confirm(ctx context.Context) (index, term uint64, err error) {
	o := n.call(ctx, newRequest(askConfirm))
	if codes.Is(o.err, codes.OutcomeUnknown) {
		o.err = codes.New(codes.NoQuorum, "no quorum confirmed the leadership in time")
	}
	return o.index, o.term, o.err
}

// ChangeMember changes one member and returns once the change is committed.
// Errors: codes.NotLeader, codes.NoQuorum, codes.MemberBusy and
// codes.UnknownMember: surely not changed; codes.OutcomeUnknown: look at
// Members.
func (n *Node) ChangeMember(ctx context.Context, change quorum.MemberChange) error {
	r := newRequest(askChange)
	r.change = change
	return n.call(ctx, r).err
}
