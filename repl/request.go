package repl

import (
	"context"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

type requestKind uint8

const (
	proposeRequest requestKind = iota + 1
	confirmRequest
	changeRequest
	transferRequest
)

// The stages of a request.
const (
	requestQueued    uint32 = iota
	requestAccepted         // passed to the core
	requestAbandoned        // its caller stopped waiting before that
)

// outcome is the result of a request.
type outcome struct {
	result state.Result
	index  uint64
	term   uint64
	err    error
}

// request is one call that the loops process.
type request struct {
	kind     requestKind
	command  state.Command
	change   quorum.MemberChange
	stage    atomic.Uint32
	reply    chan outcome // buffered for one outcome
	position quorum.Position
	accepted chan (<-chan struct{}) // buffered for one: receives the leadershipLost channel of the leadership that accepted the request
}

func newRequest(kind requestKind) *request {
	return &request{kind: kind, reply: make(chan outcome, 1), accepted: make(chan (<-chan struct{}), 1)}
}

// answer sends the outcome to the caller. It never blocks; only the first outcome
// counts.
func (r *request) answer(o outcome) {
	select {
	case r.reply <- o:
	default:
	}
}

func (r *request) fail(err error) {
	r.answer(outcome{err: err})
}

// submit queues a request and reports whether it was queued.
func (n *Node) submit(ctx context.Context, r *request) bool {
	select {
	case <-n.tomb.Dying():
		return false
	default:
	}
	return n.requests.Push(ctx, r)
}

// call queues a request and waits for its outcome. When the leadership that
// accepted it ends, the next leader usually decides whether its entry is
// committed, so the call waits for twice the longest election timeout before it
// reports the outcome as unknown.
func (n *Node) call(ctx context.Context, r *request) outcome {
	if !n.submit(ctx, r) {
		return outcome{err: codes.New(codes.NoQuorum, "control node %s is busy or stopping", n.settings.id)}
	}
	var lost <-chan struct{}
	var limit <-chan sardine.Millis
	for {
		select {
		case o := <-r.reply:
			return o
		case lost = <-r.accepted:
		case <-lost:
			lost = nil
			limit = n.settings.clock.After(2 * n.settings.timing.ElectionMax)
		case <-limit:
			return r.abandon(ctx)
		case <-ctx.Done():
			return r.abandon(ctx)
		case <-n.tomb.Dying():
			return r.abandon(ctx)
		}
	}
}

// abandon ends the wait for an outcome and returns the best one available.
func (r *request) abandon(ctx context.Context) outcome {
	if r.stage.CompareAndSwap(requestQueued, requestAbandoned) {
		return outcome{err: codes.New(codes.NoQuorum, "the control node did not process the call in time")}
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
// applied on this node. After codes.NotLeader, codes.NoQuorum or codes.QueueFull
// the command was not and will not be applied; after codes.OutcomeUnknown it may
// be.
func (n *Node) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	r := newRequest(proposeRequest)
	r.command = c
	o := n.call(ctx, r)
	return o.result, o.err
}

// ConfirmLeadership returns once a quorum has confirmed, in a round started after the
// call, that this node leads, and everything committed before the call is applied on
// this node. Errors: codes.NotLeader, codes.NoQuorum.
func (n *Node) ConfirmLeadership(ctx context.Context) (index, term uint64, err error) {
	o := n.call(ctx, newRequest(confirmRequest))
	if codes.Is(o.err, codes.OutcomeUnknown) {
		o.err = codes.New(codes.NoQuorum, "no quorum confirmed the leadership in time")
	}
	return o.index, o.term, o.err
}

// ChangeMember changes one member and returns once the change is committed. After
// codes.NotLeader, codes.NoQuorum, codes.MemberBusy or codes.UnknownMember nothing
// was changed; after codes.OutcomeUnknown, check Members.
func (n *Node) ChangeMember(ctx context.Context, change quorum.MemberChange) error {
	r := newRequest(changeRequest)
	r.change = change
	return n.call(ctx, r).err
}
