package entry

import (
	"context"
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// moveWaitShare is the part of a caller's disconnect gap that a request that moves to
// another target may spend waiting. The pause before the move and the prompt
// processing at the new target take the rest.
const moveWaitShare = 0.3

// moveSchedule spaces out the requests that move away from a stalled target.
// They all fail at the same moment, and processing all their prompts at once
// elsewhere would delay the streams there.
type moveSchedule struct {
	random sardine.Random

	mu   sync.Mutex
	next map[sardine.ServiceName]sardine.Millis // earliest time of the next move, by deployment
}

func newMoveSchedule(random sardine.Random) *moveSchedule {
	return &moveSchedule{random: random, next: make(map[sardine.ServiceName]sardine.Millis)}
}

// delay returns how long a request waits before it moves, at most the given
// maximum. Nodes do not coordinate their schedules, so each starts with a
// random part of an interval.
func (t *moveSchedule) delay(now sardine.Millis, name sardine.ServiceName, interval, maximum sardine.Millis) sardine.Millis {
	if interval <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := max(t.next[name], now+sardine.Millis(t.random.IntN(int(interval)+1)))
	if at > now+maximum {
		at = now + sardine.Millis(t.random.IntN(int(maximum)+1))
	}
	t.next[name] = max(t.next[name], at+interval)
	return at - now
}

// delayMove delays a request that moves to another target, if it is late
// anyway. Its last event arrived at lastEventAt, 0 before the first.
func (q *routedRun) delayMove(ctx context.Context, lastEventAt sardine.Millis) {
	n := q.node
	now := n.clock.Now()
	if q.route.Kind != sardine.RouteStream || !q.overdue(now, lastEventAt) {
		return
	}
	name := q.service.routeName()
	wait := n.moves.delay(now, name, n.gate.lateInterval(name), sardine.Millis(moveWaitShare*float64(q.disconnectGap())))
	_ = n.sleep(ctx, wait) // the next attempt notices a caller that disconnects meanwhile
}

// overdue reports whether the first event, or the next one, has already missed
// its objective.
func (q *routedRun) overdue(now, lastEventAt sardine.Millis) bool {
	if lastEventAt == 0 {
		return now-q.arrived > q.route.Objective
	}
	return q.route.MaxGap > 0 && now-lastEventAt > q.route.MaxGap
}
