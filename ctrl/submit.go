package ctrl

import (
	"context"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// Submit proposes a command for an entry node.
func (n *Node) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitReply, error) {
	result, err := n.submit(ctx, r.GetCommand())
	n.instruments.load.count(taskOf(r.GetCommand()), err)
	return &wire.SubmitReply{
		Fault:   ctlapi.FaultOf(err),
		Index:   result.Index,
		Version: uint64(result.Version),
		Epoch:   uint64(result.Epoch),
		Repeat:  result.Repeat,
		Verdict: uint32(result.Verdict),
		Answer:  state.AnswerToWire(result.Answer),
		Holder:  string(result.Holder),
	}, nil
}

func (n *Node) submit(ctx context.Context, w *wire.Command) (state.Result, error) {
	if w == nil {
		return state.Result{}, codes.New(codes.BadRequest, "the command is missing")
	}
	_, command, err := state.FromWire(w)
	if err != nil {
		return state.Result{}, err
	}
	if !allowedFromEntry(command) {
		return state.Result{}, codes.New(codes.ScopeRefused, "entry nodes may not submit %T", command)
	}
	if join, joins := command.(state.JoinEntry); joins {
		if err := n.mayJoin(ctx, join); err != nil {
			return state.Result{}, err
		}
	}
	release, err := n.awaitSlot(ctx, command)
	if err != nil {
		return state.Result{}, err
	}
	defer release()
	if result, ok := n.unchanged(ctx, command); ok {
		n.instruments.load.count(taskUnchanged, nil)
		return result, nil
	}
	result, err := n.propose(ctx, command)
	if err != nil {
		return result, n.redirect(err)
	}
	n.logCommand(command, result)
	return result, result.Err
}

// awaitSlot waits until a strike may be proposed and returns the function that ends it.
// Many targets that fail at once lead to hundreds of strikes, behind which the
// leader's own commands, for the groups that these targets leave behind, would queue.
// A strike whose sender no longer waits is not proposed.
func (n *Node) awaitSlot(ctx context.Context, c state.Command) (release func(), err error) {
	switch c.(type) {
	case state.Strike, state.ReleasePoison:
	default:
		return func() {}, nil
	}
	select {
	case n.strikeSlots <- struct{}{}:
		return func() { <-n.strikeSlots }, nil
	case <-ctx.Done():
		return nil, codes.New(codes.NoQuorum, "%d strikes are being committed", maxStrikeProposals)
	case <-n.tomb.Dying():
		return nil, codes.New(codes.Draining, "this control node is stopping")
	}
}

// unchanged returns the result of a command that would change nothing, as confirmed by a
// quorum. Commands that many entry nodes submit at once, such as for a probe that one of
// them may make, cost no log entry each.
func (n *Node) unchanged(ctx context.Context, c state.Command) (r state.Result, ok bool) {
	look := func() bool {
		n.log.View(func(m *state.Machine) { r, ok = m.Unchanged(state.WallTime(time.Now().UnixMilli()), c) })
		return ok
	}
	if !look() {
		return state.Result{}, false
	}
	if _, _, err := n.confirm(ctx); err != nil || !look() {
		return state.Result{}, false
	}
	return r, true
}

// allowedFromEntry reports whether entry nodes may submit the command. Only the leader
// proposes all others.
func allowedFromEntry(c state.Command) bool {
	switch c.(type) {
	case state.ClaimKey, state.FinishClaim, state.DropClaim, state.Strike, state.ReleasePoison, state.JoinEntry, state.LeaveEntry, state.OpenTraffic:
		return true
	default:
		return false
	}
}

// redirect adds the leader's address to a codes.NotLeader error.
func (n *Node) redirect(err error) error {
	if !codes.Is(err, codes.NotLeader) {
		return err
	}
	return ctlapi.NewNotLeader(n.log.Leader().Address)
}

// confirm returns once a quorum has confirmed that this node leads.
func (n *Node) confirm(ctx context.Context) (index, term uint64, err error) {
	index, term, err = n.log.ConfirmLeadership(ctx)
	return index, term, n.redirect(err)
}

// mayJoin rejects a new incarnation of an entry node while the earlier one may still
// serve.
func (n *Node) mayJoin(ctx context.Context, e state.JoinEntry) error {
	if _, _, err := n.confirm(ctx); err != nil {
		return err
	}
	may, at := false, sardine.Millis(0)
	now := n.clock.Now()
	n.log.View(func(m *state.Machine) {
		may, at = n.leadership.mayJoin(now, m, e)
	})
	if !may {
		return codes.New(codes.MemberBusy, "the earlier incarnation of %s may serve for %d ms more", e.Node, max(at-now, 0))
	}
	return nil
}

func (l *leadership) mayJoin(now sardine.Millis, m *state.Machine, e state.JoinEntry) (bool, sardine.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return false, now
	}
	l.catchUp(m, cutPolicyOf)
	return l.ledger.MayJoin(now, e)
}
