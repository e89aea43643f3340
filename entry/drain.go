package entry

import (
	"context"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/listen"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// Drain starts a graceful shutdown: the node reports that it is not ready,
// keeps serving until the load balancer has stopped sending callers, finishes
// the requests in flight and stops. Done is closed at the end. Further calls
// have no effect.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.drainEnd.Store(int64(n.clock.Now() + n.timing.BalancerDelay + n.timing.Drain))
		n.draining.Store(true)
		event.Log(n.log, event.DrainStarted, slog.Int("in_flight", n.inFlight.count()))
		n.tomb.Go(n.drain)
	})
}

// drain performs the graceful shutdown.
func (n *Node) drain() error {
	if n.sleep(n.baseCtx, n.timing.BalancerDelay) != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.baseCtx, n.timing.Drain.Duration())
	defer cancel()
	err := n.endRequests(ctx)
	if err != nil { // timed out: the remaining requests end with an error response
		n.cancelDrain()
		last, cancel := context.WithTimeout(n.baseCtx, n.timing.Final.Duration())
		defer cancel()
		_ = n.endRequests(last) // release cuts off what is still running
	}
	n.claims.drain()
	n.guards.drain()
	n.checks.drain()
	n.strikes.drain()
	n.logRetryCounts(true)
	event.Log(n.log, event.DrainEnded, slog.Bool("whole", err == nil))
	n.deregister()
	n.tomb.Kill(nil)
	return nil
}

// endRequests waits until the requests of callers and those that other entry nodes have
// passed to this one have ended. New ones of callers are not accepted.
func (n *Node) endRequests(ctx context.Context) error {
	if err := n.public.Shutdown(ctx); err != nil {
		return err
	}
	return n.awaitTaken(ctx)
}

// outlastsDrain returns an error if the node is shutting down and would probably
// cut the request off: another node can still answer it. Only a request that may
// run again elsewhere is accepted on an estimate, others by their deadline. So are all
// once the listener is closed: what comes so late is never cut off.
func (q *routedRun) outlastsDrain() error {
	n := q.node
	if !n.draining.Load() {
		return nil
	}
	end, drainEnd := q.deadline, sardine.Millis(n.drainEnd.Load())
	if estimate := q.estimateEnd(); estimate > 0 && q.route.Idempotent() && q.arrived < drainEnd-n.timing.Drain {
		end = min(end, estimate)
	}
	if left := drainEnd - q.arrived; q.arrived+left < end {
		return codes.New(codes.Draining, "this entry node stops in %d ms, before the request has surely ended", max(left, 0))
	}
	return nil
}

// estimateMargin is how much longer an answer may take than its caller's estimate
// and the present pace suggest.
const estimateMargin = 2

// estimateEnd returns when a stream has probably ended, 0 if that is not known.
func (q *routedRun) estimateEnd() sardine.Millis {
	gap := q.node.batchBounds.MeanGap(q.service.routeName())
	events := q.expectedEvents()
	if gap <= 0 || events <= 0 {
		return 0
	}
	return q.arrived + q.route.Objective + sardine.Millis(estimateMargin*events*gap)
}

// deregister reports to the control nodes that this node has stopped serving,
// so that no change waits for its lease to expire. It also reports the retries
// that its next incarnation must count as used.
func (n *Node) deregister() {
	n.follower.leave()
	ctx, cancel := context.WithTimeout(n.baseCtx, n.timing.Submit.Duration())
	defer cancel()
	leave := state.LeaveEntry{Node: n.id, Incarnation: n.incarnation}
	if n.retries != nil {
		leave.Spent = n.retries.close(n.clock.Now())
	}
	if _, err := n.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, leave)}); err != nil {
		event.Log(n.log, event.RequestFailed, codeAttr(err))
	}
}

// Done is closed when all background loops have ended.
func (n *Node) Done() <-chan struct{} {
	return n.tomb.Dead()
}

// Stop stops the node at once, cuts off requests in flight, and releases all
// goroutines and sockets. It returns the error that had stopped the node
// before, if any. For a graceful shutdown call Drain and wait for Done first.
func (n *Node) Stop() error {
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.claims.drain()
	n.guards.drain()
	n.checks.drain()
	n.logRetryCounts(true)
	event.Log(n.log, event.NodeStopped)
	return err
}

// release closes everything that New has opened.
func (n *Node) release() {
	n.cancelBase()
	n.cancelDrain()
	for _, s := range []*listen.Server{n.public, n.ready, n.metrics, n.targets, n.internal} {
		if s != nil {
			_ = s.Close() // the process exits; callers see a broken connection
		}
	}
	if n.internalClient != nil {
		n.internalClient.CloseIdleConnections()
	}
	for _, p := range []*pool.Pool{n.pool, n.passPool} {
		if p != nil {
			p.Close()
		}
	}
	if n.meter != nil {
		_ = n.meter.meter.Close()
	}
}
