package entry

import (
	"context"
	"errors"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

const (
	// strikeWait bounds how long a request waits until its strike is in the
	// replicated log. This usually takes some milliseconds. Without the strike,
	// neither this node nor the one that the caller tries next would count the
	// group that just crashed.
	strikeWait = 2 * sardine.Second
	// strikePollInterval is the time between two checks whether this node has
	// followed the strike.
	strikePollInterval = 5 * sardine.Millis(1)
)

// permit is the permission for one dispatch, or the error that denies it.
type permit struct {
	avoid  []sardine.GroupID
	prefer sardine.GroupID
	err    error
}

// guards runs requests as the guard core allows, to stop requests that crash
// groups.
type guards struct {
	node *Node

	mu      sync.Mutex
	core    *guard.Guard
	nextID  claim.RequestID
	waiting map[claim.RequestID]chan permit
	struck  map[claim.RequestID]chan uint64 // receives the log index of the strike
	running sync.WaitGroup
}

func newGuards(n *Node) *guards {
	return &guards{
		node:    n,
		core:    guard.New(n.id, n.incarnation, publishedStrikes{n}, n.random),
		waiting: make(map[claim.RequestID]chan permit),
		struck:  make(map[claim.RequestID]chan uint64),
	}
}

// publishedStrikes gives the core access to the strikes in the published view.
type publishedStrikes struct {
	node *Node
}

// StrikeGroups returns the groups that failed while they ran the fingerprint.
func (r publishedStrikes) StrikeGroups(fingerprint []byte) []sardine.GroupID {
	return r.Poison(fingerprint).Groups()
}

// Poison returns the recorded strikes of a fingerprint.
func (r publishedStrikes) Poison(fingerprint []byte) state.Poison {
	return r.node.view().strikes[string(fingerprint)]
}

// Time returns the leader's time of the last entry in the published view.
func (r publishedStrikes) Time() state.WallTime {
	return r.node.view().at
}

// Index returns the log index of the published view.
func (r publishedStrikes) Index() uint64 {
	return r.node.view().index
}

// offer waits until the request may be dispatched. Pass the returned id to
// placed and ended. After an error the dispatch has not taken place.
func (g *guards) offer(ctx context.Context, q *request) (claim.RequestID, permit, error) {
	deadline := g.node.clock.Now() + g.node.timing.FirstToken
	if q.deadline > 0 {
		deadline = q.arrived + q.deadline
	}
	ready := make(chan permit, 1)
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.waiting[id] = ready
	g.perform(g.core.Offer(g.node.clock.Now(), id, q.poison, deadline))
	g.mu.Unlock()
	select {
	case p := <-ready:
		return id, p, p.err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if _, waits := g.waiting[id]; waits {
			delete(g.waiting, id)
			g.perform(g.core.Cancel(g.node.clock.Now(), id))
		} else if p := <-ready; p.err == nil { // allowed while the caller disconnected
			g.perform(g.core.Ended(g.node.clock.Now(), id, guard.DispatchResult{Outcome: guard.OutcomeUnknown}))
		}
		return id, permit{}, context.Cause(ctx)
	}
}

// placed records the group that runs the request.
func (g *guards) placed(id claim.RequestID, group sardine.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Dispatched(id, group)
}

// ended records what happened to the group during a dispatch. After a crash it
// returns when this node has followed the strike, or after strikeWait. It
// reports whether the request may be dispatched again; after a crash that
// requires that the strike was followed.
func (g *guards) ended(id claim.RequestID, c route.Candidate, outcome guard.Outcome) bool {
	done := make(chan uint64, 1)
	g.mu.Lock()
	if outcome == guard.OutcomeCrashed {
		g.struck[id] = done
	}
	g.perform(g.core.Ended(g.node.clock.Now(), id, guard.DispatchResult{Group: c.Group, Epoch: c.Epoch, Outcome: outcome}))
	g.mu.Unlock()
	if outcome != guard.OutcomeCrashed {
		return true
	}
	known := g.awaitStrike(done)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.struck, id)
	return known
}

func (g *guards) awaitStrike(done <-chan uint64) bool {
	ctx, cancel := context.WithTimeout(g.node.baseCtx, strikeWait.Duration())
	defer cancel()
	select {
	case index := <-done:
		for g.node.view().index < index {
			if g.node.sleep(ctx, strikePollInterval) != nil {
				return false
			}
		}
		return true
	case <-ctx.Done():
		return false
	}
}

// tick lets the core send overdue proposals again and see what the node has
// followed.
func (g *guards) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.node.clock.Now()
	g.perform(g.core.IndexAdvanced(now))
	g.perform(g.core.Tick(now))
}

// drain waits for running proposals.
func (g *guards) drain() {
	g.running.Wait()
}

// perform runs the core's actions. The caller holds the lock.
func (g *guards) perform(actions []guard.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case guard.Propose:
			g.running.Go(func() { g.propose(a) })
		case guard.Run:
			g.reply(a.Request, permit{avoid: a.Avoid, prefer: a.Prefer})
		case guard.Refuse:
			g.reply(a.Request, permit{err: codes.New(a.Code, "%s", a.Code.Row().Meaning)})
		case guard.StrikeCommitted:
			if done := g.struck[a.Request]; done != nil {
				delete(g.struck, a.Request)
				done <- a.Index
			}
		}
	}
}

func (g *guards) reply(id claim.RequestID, p permit) {
	if ready := g.waiting[id]; ready != nil {
		delete(g.waiting, id)
		ready <- p
	}
}

func (g *guards) propose(p guard.Propose) {
	result, err := g.node.propose(p.Command)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.core.Proposed(g.node.clock.Now(), p.ID, result, err))
}

// groupOutcome returns what happened to the group during a dispatch. Only a
// process that no longer listens counts as crashed: a stream that the network
// broke says nothing about the request, and neither does silence.
func (n *Node) groupOutcome(ctx context.Context, c route.Candidate, err error) guard.Outcome {
	switch {
	case err == nil:
		return guard.OutcomeCompleted
	case errors.Is(err, errStalled), errors.Is(err, errDeadline), errors.Is(err, errDrained):
		return guard.OutcomeUnknown
	case !codes.Is(err, codes.TargetFailed) && !codes.Is(err, codes.StreamBroken):
		return guard.OutcomeUnknown
	case n.listens(ctx, c.Address), !n.links.work(context.WithoutCancel(ctx), c.Address):
		return guard.OutcomeUnknown
	default:
		event.Log(n.log, event.TargetLost, groupAttr(c.Group))
		return guard.OutcomeCrashed
	}
}

// listens reports whether a process accepts connections at the address. If this
// is unknown after the timeout, the answer is true.
func (n *Node) listens(ctx context.Context, address string) bool {
	listens, err := n.isListening(context.WithoutCancel(ctx), address)
	return err != nil || listens
}
