package ctlapi

import (
	"context"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// repeat tells what may be done about a call whose answer was lost.
type repeat uint8

const (
	repeatRead   repeat = iota + 1 // it changed nothing, so ask again
	repeatChange                   // a resend is recognised, so ask again
	repeatNever                    // it may have been carried out
)

// walk is one call's way over the control nodes.
type walk struct {
	nodes []string // as given to the client
	again repeat
	lost  bool  // a call that may have been carried out got no answer
	last  error // what was heard last, for the caller
}

// atLeader asks one control node after the other until the leader has answered
// or ctx ends. A broken call may have reached a leader: it ends the walk with
// OutcomeUnknown unless the call may be repeated.
func atLeader[R any](ctx context.Context, c *Client, again repeat, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, error) {
	var none R
	w := &walk{nodes: c.order(), again: again}
	for {
		for _, address := range c.order() {
			answer, fault, err := callOne(ctx, c, again, address, call)
			if err != nil {
				c.forget(address)
				if w.broken(err) {
					return none, w.gaveUp()
				}
				continue
			}
			failed := ErrorOf(fault)
			if again != repeatNever && codes.Is(failed, codes.OutcomeUnknown) {
				w.last, w.lost = failed, true
				c.forget(address)
				continue
			}
			if !elsewhere(failed) {
				c.remember(address)
				return answer, failed
			}
			w.last = failed
			c.follow(failed)
		}
		if pause(ctx) != nil {
			return none, w.gaveUp()
		}
	}
}

// callOne asks one node, within the bound of an attempt.
func callOne[R any](ctx context.Context, c *Client, again repeat, address string, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, *wire.Fault, error) {
	most := c.attempt
	if again == repeatRead && c.brief > 0 {
		most = min(most, c.brief)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return call(ctx, c.Stub(address))
}

// broken notes a call without an answer and reports whether the walk ends. That a
// node was silent tells less than what another one said.
func (w *walk) broken(err error) bool {
	if w.last == nil {
		w.last = err
	}
	if SurelyUnsent(err) {
		return false
	}
	w.lost = w.lost || w.again != repeatRead
	return w.again == repeatNever
}

func (w *walk) gaveUp() error {
	if w.lost {
		return codes.New(codes.OutcomeUnknown, "no answer from the control nodes %v: %v", w.nodes, w.last)
	}
	return codes.New(codes.NoQuorum, "no control node of %v leads: %v", w.nodes, w.last)
}
