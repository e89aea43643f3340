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

// verdict is what a request with an idempotency key gets.
type verdict struct {
	answer state.Answer
	code   codes.Code // codes.OK for an answer
	ran    sardine.Ran
}

// claimant is a caller's request that waits for the outcome of its key.
type claimant struct {
	ready chan verdict
	fetch func() claim.Outcome
}

// claims runs requests with an idempotency key. It performs the actions of the
// claim core: proposals go to the control quorum, dispatches run in goroutines
// that outlive their callers.
type claims struct {
	node *Node

	mu      sync.Mutex
	keeper  *claim.Keeper
	nextID  claim.RequestID
	waiting map[claim.RequestID]claimant
	running sync.WaitGroup
}

func newClaims(n *Node) *claims {
	return &claims{
		node:    n,
		keeper:  claim.New(n.id, n.incarnation, n.random),
		waiting: make(map[claim.RequestID]claimant),
	}
}

// do runs fetch under the request's key, or waits for the outcome of the
// dispatch that holds the key already.
func (c *claims) do(ctx context.Context, q *request, fetch func() claim.Outcome) verdict {
	deadline := q.arrived + c.node.timing.PlainAnswer
	if q.deadline > 0 {
		deadline = q.arrived + q.deadline
	}
	ready := make(chan verdict, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.waiting[id] = claimant{ready: ready, fetch: fetch}
	key := claim.Key{Workspace: q.workspace, Key: q.key}
	c.perform(c.keeper.Offer(c.node.clock.Now(), id, key, q.fingerprint, deadline))
	c.mu.Unlock()
	select {
	case v := <-ready:
		return v
	case <-ctx.Done():
		c.gone(id)
		return verdict{code: codes.OutcomeUnknown, ran: sardine.RanUnknown}
	}
}

func (c *claims) gone(id claim.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	c.keeper.Gone(id)
}

// tick lets the core resend what is due.
func (c *claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.keeper.Tick(c.node.clock.Now()))
}

// drain waits for dispatches and proposals under way.
func (c *claims) drain() {
	c.running.Wait()
}

// held returns the number of keys the node acts on.
func (c *claims) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keeper.Held()
}

// perform carries out the core's actions. The lock is held.
func (c *claims) perform(actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Propose:
			c.running.Go(func() { c.propose(a) })
		case claim.Dispatch:
			fetch := c.waiting[a.Request].fetch
			c.running.Go(func() { c.dispatch(a, fetch) })
		case claim.Reply:
			c.tell(a.Request, verdict{answer: a.Answer, code: codes.OK, ran: sardine.RanYes})
		case claim.Refuse:
			c.tell(a.Request, verdict{code: a.Code, ran: a.Ran})
		}
	}
}

func (c *claims) tell(id claim.RequestID, v verdict) {
	if w, waits := c.waiting[id]; waits {
		delete(c.waiting, id)
		w.ready <- v
	}
}

func (c *claims) propose(p claim.Propose) {
	result, err := c.node.propose(p.Command)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.keeper.Proposed(c.node.clock.Now(), p.ID, result, err))
}

// propose submits a command. err is not nil if it is unknown whether the log
// took it; result.Err is the log's own refusal.
func (n *Node) propose(command state.Command) (result state.Result, err error) {
	return n.proposeWithin(n.timing.Submit, command)
}

func (n *Node) proposeWithin(limit sardine.Millis, command state.Command) (result state.Result, err error) {
	ctx, cancel := context.WithTimeout(n.life, limit.Duration())
	defer cancel()
	answer, err := n.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, command)})
	result = resultOf(answer, err)
	if !codes.Is(err, codes.OutcomeUnknown) && !codes.Is(err, codes.NoQuorum) {
		err = nil // the log has answered
	}
	return result, err
}

// resultOf maps the answer to a proposal.
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
	actions, err := c.keeper.Ended(d.Attempt, outcome)
	if err != nil {
		event.Log(c.node.log, event.InvariantBroken, codeAttr(err))
		c.node.broken(err)
	}
	c.perform(actions)
}
