package entry

import (
	"context"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// verdict is the result of a request with an idempotency key.
type verdict struct {
	answer state.Answer
	code   codes.Code // codes.OK if there is an answer
	ran    sardine.Ran
}

// claimWaiter is a caller's request that waits for the result of its key.
type claimWaiter struct {
	ready chan verdict
	fetch func() claim.Outcome
}

// claims runs requests that have an idempotency key. It performs the actions of
// the claim core: it submits proposals to the control nodes and runs dispatches
// in goroutines that continue when the caller disconnects.
type claims struct {
	node *Node

	mu      sync.Mutex
	core    *claim.Coordinator
	nextID  claim.RequestID
	waiting map[claim.RequestID]claimWaiter
	running sync.WaitGroup
}

func newClaims(n *Node) *claims {
	return &claims{
		node:    n,
		core:    claim.New(n.id, n.incarnation, n.random),
		waiting: make(map[claim.RequestID]claimWaiter),
	}
}

// do runs fetch under the request's key, or waits for the result of the
// dispatch that already holds the key.
func (c *claims) do(ctx context.Context, q *request, fetch func() claim.Outcome) verdict {
	deadline := q.arrived + c.node.timing.PlainAnswer
	if q.deadline > 0 {
		deadline = q.arrived + q.deadline
	}
	ready := make(chan verdict, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.waiting[id] = claimWaiter{ready: ready, fetch: fetch}
	key := claim.Key{Workspace: q.workspace, Key: q.key}
	c.perform(c.core.Offer(c.node.clock.Now(), id, key, q.fingerprint, deadline))
	c.mu.Unlock()
	select {
	case v := <-ready:
		return v
	case <-ctx.Done():
		c.cancel(id)
		return verdict{code: codes.OutcomeUnknown, ran: sardine.RanUnknown}
	}
}

func (c *claims) cancel(id claim.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	c.core.Cancel(id)
}

// tick lets the core send overdue proposals again.
func (c *claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.core.Tick(c.node.clock.Now()))
}

// drain waits for running dispatches and proposals.
func (c *claims) drain() {
	c.running.Wait()
}

// count returns the number of keys that the node currently handles.
func (c *claims) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.KeyCount()
}

// perform runs the core's actions. The caller holds the lock.
func (c *claims) perform(actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Propose:
			c.running.Go(func() { c.propose(a) })
		case claim.Dispatch:
			fetch := c.waiting[a.Request].fetch
			c.running.Go(func() { c.dispatch(a, fetch) })
		case claim.Reply:
			c.reply(a.Request, verdict{answer: a.Answer, code: codes.OK, ran: sardine.RanYes})
		case claim.Refuse:
			c.reply(a.Request, verdict{code: a.Code, ran: a.Ran})
		}
	}
}

func (c *claims) reply(id claim.RequestID, v verdict) {
	if w, waits := c.waiting[id]; waits {
		delete(c.waiting, id)
		w.ready <- v
	}
}

func (c *claims) propose(p claim.Propose) {
	result, err := c.node.propose(p.Command)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.core.Proposed(c.node.clock.Now(), p.ID, result, err))
}

// propose submits a command to the replicated log. A non-nil err means that it
// is unknown whether the command was committed; result.Err is a refusal by the
// state machine.
func (n *Node) propose(command state.Command) (result state.Result, err error) {
	return n.proposeWithin(n.timing.Submit, command)
}

func (n *Node) proposeWithin(limit sardine.Millis, command state.Command) (result state.Result, err error) {
	ctx, cancel := context.WithTimeout(n.baseCtx, limit.Duration())
	defer cancel()
	answer, err := n.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, command)})
	result = resultOf(answer, err)
	if !codes.Is(err, codes.OutcomeUnknown) && !codes.Is(err, codes.NoQuorum) {
		err = nil // the command was definitely applied or refused
	}
	return result, err
}

// resultOf converts the reply to a proposal.
func resultOf(r *wire.SubmitReply, err error) state.Result {
	if err != nil {
		return state.Result{Err: err}
	}
	return state.Result{
		Index:   r.Index,
		Verdict: state.ClaimVerdict(r.Verdict),
		Answer:  state.AnswerFromWire(r.Answer),
		Holder:  sardine.NodeID(r.Holder),
	}
}

func (c *claims) dispatch(d claim.Dispatch, fetch func() claim.Outcome) {
	outcome := claim.Outcome{Ran: sardine.RanNo, Code: codes.Internal}
	if fetch != nil {
		outcome = fetch()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	actions, err := c.core.Ended(d.Attempt, outcome)
	if err != nil {
		event.Log(c.node.log, event.InvariantBroken, codeAttr(err))
		c.node.recordViolation(err)
	}
	c.perform(actions)
}
