package ctlapi

import (
	"context"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// retryPolicy states whether a call whose reply was lost may be sent again.
type retryPolicy uint8

const (
	retryRead   retryPolicy = iota + 1 // it changes nothing, so it is sent again
	retryChange                        // a repeated change is recognised by its id, so it is sent again
	retryNever                         // it may have been executed, so it is not sent again
)

// leaderCall is the state of one call that tries the control nodes in turn.
type leaderCall struct {
	nodes   []string // the addresses to try, for the error text
	policy  retryPolicy
	lost    bool  // a call that may have been executed got no reply
	lastErr error // last fault that a node replied, or else the first error, for the caller
}

// atLeader calls one control node after the other until the leader has replied or
// ctx ends. A call without a reply may have reached the leader: atLeader then
// fails with OutcomeUnknown unless the policy allows another attempt.
func atLeader[R any](ctx context.Context, c *Client, policy retryPolicy, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, error) {
	var none R
	l := &leaderCall{nodes: c.candidates(), policy: policy}
	for connect := firstConnectTimeout; ; connect = min(2*connect, c.callTimeout) {
		for _, address := range c.candidates() {
			answer, fault, err := callOne(ctx, c, policy, connect, address, call)
			if err != nil {
				c.recordFailure(address, !NeverSent(err))
				if l.recordError(err) {
					return none, l.failure()
				}
				continue
			}
			failed := ErrorOf(fault)
			if policy != retryNever && codes.Is(failed, codes.OutcomeUnknown) {
				l.lastErr, l.lost = failed, true
				c.recordFailure(address, true)
				continue
			}
			if !retryable(failed) {
				c.setLeader(address)
				return answer, failed
			}
			l.lastErr = failed
			c.recordAnswer(address)
			c.followRedirect(failed)
		}
		if pause(ctx) != nil {
			return none, l.failure()
		}
	}
}

// callOne calls one node with the timeout of one attempt. connect is the timeout for a
// connection.
func callOne[R any](ctx context.Context, c *Client, policy retryPolicy, connect time.Duration, address string, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, *wire.Fault, error) {
	timeout := c.callTimeout
	if policy == retryRead && c.readTimeout > 0 {
		timeout = min(timeout, c.readTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	watch := &sentWatch{}
	ctx, stop := watch.limitConnect(ctx, connect)
	defer stop()
	answer, fault, err := call(watch.trace(ctx), c.Stub(address))
	return answer, fault, watch.mark(err)
}

// recordError records a call without a reply and reports whether the call must
// end, because trying another node might execute it twice. The error is kept only
// if no node has replied with a fault, which is more informative.
func (l *leaderCall) recordError(err error) bool {
	if l.lastErr == nil {
		l.lastErr = err
	}
	if NeverSent(err) {
		return false
	}
	l.lost = l.lost || l.policy != retryRead
	return l.policy == retryNever
}

// failure returns the error for the caller after the last attempt.
func (l *leaderCall) failure() error {
	if l.lost {
		return codes.New(codes.OutcomeUnknown, "no answer from the control nodes %v: %v", l.nodes, l.lastErr)
	}
	return codes.New(codes.NoQuorum, "no control node of %v leads: %v", l.nodes, l.lastErr)
}
