package entry

import (
	"cmp"
	"context"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// turn is a request that may wait until a target takes another one.
type turn struct {
	service  sardine.ServiceName // deployment
	begun    bool                // a target has begun to run it, or may have
	priority int                 // 0 is the most urgent
	arrived  sardine.Millis
	until    sardine.Millis // end of the wait
	first    chan struct{}  // receives a value when the turn becomes the first of its queue
}

// compare orders turns, the most urgent first.
func (t *turn) compare(other *turn) int {
	if t.begun != other.begun {
		if t.begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(t.priority, other.priority), cmp.Compare(t.arrived, other.arrived))
}

// ownTurnHold is how long a request of the own interface waits for its turn.
const ownTurnHold = 2 * sardine.Second

// turn returns the turn of a request of the own interface.
func (q *request) turn(service serviceKey, now sardine.Millis, begun bool) *turn {
	until := now + ownTurnHold
	if q.deadline > 0 && !begun {
		until = min(until, q.arrived+q.deadline)
	}
	return &turn{service: service.routeName(), begun: begun, priority: q.priority.Rank(), arrived: q.arrived, until: until}
}

// turnQueue holds the waiting requests of one deployment, the most urgent first.
type turnQueue struct {
	all []*turn
}

// ahead returns the number of requests that precede a new one.
func (q *turnQueue) ahead(t *turn) int {
	if q == nil {
		return 0
	}
	i := slices.IndexFunc(q.all, func(other *turn) bool { return t.compare(other) < 0 })
	if i < 0 {
		return len(q.all)
	}
	return i
}

func (q *turnQueue) add(t *turn) {
	q.all = slices.Insert(q.all, q.ahead(t), t)
}

// remove takes a request out and notifies the one that is the first now.
func (q *turnQueue) remove(t *turn) {
	q.all = slices.DeleteFunc(q.all, func(other *turn) bool { return other == t })
	if len(q.all) == 0 {
		return
	}
	select {
	case q.all[0].first <- struct{}{}:
	default: // it has not seen the last notification yet
	}
}

// inTurn calls pick, which chooses a target, without those for which more urgent requests
// wait. While limits leave none, it waits, unless the request's turn is not expected in
// time.
func (n *Node) inTurn(ctx context.Context, t *turn, pick func(yielded []route.Ref) (*route.Choice, error)) (*route.Choice, error) {
	yielded := n.gate.yielded(t)
	choice, err := pick(yielded)
	if !codes.Is(err, codes.TargetLimited) && (len(yielded) == 0 || !isNoCandidate(err)) {
		return choice, err
	}
	if err := n.gate.joinTurns(t); err != nil {
		return nil, err
	}
	defer n.gate.leaveTurns(t)
	n.meter.delayed()
	for {
		wait := t.until - n.clock.Now()
		if n.gate.isNext(t) {
			choice, err := pick(nil)
			next, limited := limitWait(err)
			if !limited {
				return choice, err
			}
			if next > wait {
				return nil, err
			}
			wait = next
		} else if wait <= 0 {
			return nil, n.gate.turnError(t)
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-t.first:
		case <-n.clock.After(wait):
		}
	}
}

// yielded returns the targets with a limit if more urgent requests wait for them.
func (g *gate) yielded(t *turn) []route.Ref {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.queues[t.service].ahead(t) == 0 {
		return nil
	}
	return g.limits.limited(g.clock.Now(), t.service)
}

// joinTurns adds a request to its queue. It fails if the request's turn is not expected
// in time.
func (g *gate) joinTurns(t *turn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	queue := g.limits.queues[t.service]
	if wait := g.limits.expectedWait(now, t.service, queue.ahead(t)); now+wait > t.until {
		return errLimited(wait)
	}
	if queue == nil {
		queue = &turnQueue{}
		g.limits.queues[t.service] = queue
	}
	t.first = make(chan struct{}, 1)
	queue.add(t)
	return nil
}

func (g *gate) leaveTurns(t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.limits.queues[t.service]
	queue.remove(t)
	if len(queue.all) == 0 {
		delete(g.limits.queues, t.service)
	}
}

// isNext reports whether a waiting request is the first of its queue.
func (g *gate) isNext(t *turn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.queues[t.service].all[0] == t
}

// turnError returns the error of a request that has waited in vain.
func (g *gate) turnError(t *turn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errLimited(g.limits.expectedWait(g.clock.Now(), t.service, g.limits.queues[t.service].ahead(t)))
}

// maxTurnWait bounds the estimate of the time until a turn.
const maxTurnWait = 10 * sardine.Second

// expectedWait returns the expected time until a request's turn, after those of the
// given number of others.
func (l *targetLimits) expectedWait(now sardine.Millis, service sardine.ServiceName, ahead int) sardine.Millis {
	_, wait := l.exhausted(now, route.Request{Service: service})
	if ahead == 0 {
		return wait
	}
	rate := l.rate(now, service)
	if rate <= 0 {
		return maxTurnWait
	}
	return min(wait+sardine.Millis(float64(ahead)/rate*float64(sardine.Second)), maxTurnWait)
}
