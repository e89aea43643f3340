package entry

import (
	"context"
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// moveWaitShare is the part of a caller's patience for which a request that moves
// to another target may wait for its turn. The pause before it and the reading of
// its prompt take the rest.
const moveWaitShare = 0.3

// turns spreads over time what moves away from a target that stands still. All its
// requests fail at the same moment, and their prompts, read at once elsewhere,
// would delay the streams there.
type turns struct {
	random sardine.Random

	mu   sync.Mutex
	next map[sardine.ServiceName]sardine.Millis // when the next one may go, by deployment
}

func newTurns(random sardine.Random) *turns {
	return &turns{random: random, next: make(map[sardine.ServiceName]sardine.Millis)}
}

// take returns how long a request waits for its turn, at most so long. Nodes don't
// know of each other's turns, so that each begins with a random part of an
// interval.
func (t *turns) take(now sardine.Millis, name sardine.ServiceName, every, most sardine.Millis) sardine.Millis {
	if every <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := max(t.next[name], now+sardine.Millis(t.random.IntN(int(every)+1)))
	if at > now+most {
		at = now + sardine.Millis(t.random.IntN(int(most)+1))
	}
	t.next[name] = max(t.next[name], at+every)
	return at - now
}

// awaitTurn lets a request that goes on at another target wait for its turn, if it
// is late anyhow.
func (q *routed) awaitTurn(ctx context.Context) {
	n := q.node
	now := n.clock.Now()
	if q.route.Kind != sardine.RouteStream || !q.overdue(now) {
		return
	}
	name := q.service.routed()
	wait := n.turns.take(now, name, n.gate.lateEvery(name), sardine.Millis(moveWaitShare*float64(q.patience())))
	_ = n.sleep(ctx, wait) // a caller that leaves meanwhile is seen by the next attempt
}

// overdue reports whether the first event, or the next one, can't be in time any
// more.
func (q *routed) overdue(now sardine.Millis) bool {
	if q.eventAt == 0 {
		return now-q.arrived > q.route.Objective
	}
	return q.route.Gap > 0 && now-q.eventAt > q.route.Gap
}
