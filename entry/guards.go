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
	// strikeWait bounds how long a request waits until the log has its strike. The
	// wait ends with the log's answer, some milliseconds as a rule; without the
	// strike neither this node nor one that the caller asks next would know that a
	// group is gone already.
	strikeWait = 2 * sardine.Second
	// strikePause is the time between two looks whether it was followed.
	strikePause = 5 * sardine.Millis(1)
)

// permit allows one dispatch.
type permit struct {
	avoid  []sardine.GroupID
	prefer sardine.GroupID
	err    error
}

// guards lets requests run as the guard core allows.
type guards struct {
	node *Node

	mu      sync.Mutex
	core    *guard.Guard
	nextID  claim.RequestID
	waiting map[claim.RequestID]chan permit
	struck  map[claim.RequestID]chan uint64 // index of the strike
	running sync.WaitGroup
}

func newGuards(n *Node) *guards {
	return &guards{
		node:    n,
		core:    guard.New(n.id, n.incarnation, register{n}, n.random),
		waiting: make(map[claim.RequestID]chan permit),
		struck:  make(map[claim.RequestID]chan uint64),
	}
}

// register tells the core which strikes the published view holds.
type register struct {
	node *Node
}

// Strikes returns the groups that failed while they ran the fingerprint.
func (r register) Strikes(fingerprint []byte) []sardine.GroupID {
	return r.Poison(fingerprint).Groups()
}

// Poison returns what is known of a fingerprint.
func (r register) Poison(fingerprint []byte) state.Poison {
	return r.node.view().strikes[string(fingerprint)]
}

// Index returns the index of the published view.
func (r register) Index() uint64 {
	return r.node.view().index
}

// offer waits until the request may be dispatched. The returned id goes to
// placed and ended. An error means that the dispatch did not take place.
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
			g.perform(g.core.Gone(g.node.clock.Now(), id))
		} else if p := <-ready; p.err == nil { // allowed while the caller left
			g.perform(g.core.Ended(g.node.clock.Now(), id, guard.End{Fate: guard.Unclear}))
		}
		return id, permit{}, context.Cause(ctx)
	}
}

// placed notes the group that runs the request.
func (g *guards) placed(id claim.RequestID, group sardine.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Placed(id, group)
}

// ended tells what became of the group. After a crash it returns once this node
// has followed the strike, or after strikeWait. It reports whether the request may
// be sent again: after a crash only with its strike known.
func (g *guards) ended(id claim.RequestID, c route.Candidate, fate guard.Fate) bool {
	done := make(chan uint64, 1)
	g.mu.Lock()
	if fate == guard.Crashed {
		g.struck[id] = done
	}
	g.perform(g.core.Ended(g.node.clock.Now(), id, guard.End{Group: c.Group, Epoch: c.Epoch, Fate: fate}))
	g.mu.Unlock()
	if fate != guard.Crashed {
		return true
	}
	known := g.awaitStrike(done)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.struck, id)
	return known
}

func (g *guards) awaitStrike(done <-chan uint64) bool {
	ctx, cancel := context.WithTimeout(g.node.life, strikeWait.Duration())
	defer cancel()
	select {
	case index := <-done:
		for g.node.view().index < index {
			if g.node.sleep(ctx, strikePause) != nil {
				return false
			}
		}
		return true
	case <-ctx.Done():
		return false
	}
}

// tick lets the core resend what is due and see what the node has followed.
func (g *guards) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.node.clock.Now()
	g.perform(g.core.Followed(now))
	g.perform(g.core.Tick(now))
}

// drain waits for proposals under way.
func (g *guards) drain() {
	g.running.Wait()
}

// perform carries out the core's actions. The lock is held.
func (g *guards) perform(actions []guard.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case guard.Propose:
			g.running.Go(func() { g.propose(a) })
		case guard.Run:
			g.tell(a.Request, permit{avoid: a.Avoid, prefer: a.Prefer})
		case guard.Refuse:
			g.tell(a.Request, permit{err: codes.New(a.Code, "%s", a.Code.Row().Meaning)})
		case guard.Struck:
			if done := g.struck[a.Request]; done != nil {
				delete(g.struck, a.Request)
				done <- a.Index
			}
		}
	}
}

func (g *guards) tell(id claim.RequestID, p permit) {
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

// fateOf tells what became of the group after a dispatch. Only a process that is
// gone counts as crashed: a stream that the network cut says nothing about the
// request, and neither does silence.
func (n *Node) fateOf(ctx context.Context, c route.Candidate, err error) guard.Fate {
	switch {
	case err == nil:
		return guard.Survived
	case errors.Is(err, errStalled), errors.Is(err, errDeadline), errors.Is(err, errDrained):
		return guard.Unclear
	case !codes.Is(err, codes.TargetFailed) && !codes.Is(err, codes.StreamBroken):
		return guard.Unclear
	case n.listens(ctx, c.Address):
		return guard.Unclear
	default:
		event.Log(n.log, event.TargetLost, groupAttr(c.Group))
		return guard.Crashed
	}
}

// listens reports whether a process still takes connections at the address. No
// answer in time leaves it open, and counts as yes.
func (n *Node) listens(ctx context.Context, address string) bool {
	listens, err := n.look(context.WithoutCancel(ctx), address)
	return err != nil || listens
}
