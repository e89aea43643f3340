package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// claimed acts on the log's word about the key.
func (k *Keeper) claimed(now sardine.Millis, e *entry, r state.Result) []Action {
	if r.Err != nil { // the log holds nothing of the key, but grants it to nobody
		return append(k.release(e.refuseAll(codes.Of(r.Err), sardine.RanNo)), k.abandon(e)...)
	}
	switch r.Verdict {
	case state.ClaimGranted:
		return k.granted(now, e)
	case state.ClaimBusy:
		e.stage = waiting
		k.backoff(now, e)
		return nil
	case state.ClaimAnswered:
		return append(k.release(e.replyAll(r.Answer)), k.abandon(e)...)
	case state.ClaimReused:
		return append(k.release(e.refuseAll(codes.KeyReused, sardine.RanNo)), k.abandon(e)...)
	case state.ClaimExpired:
		return append(k.release(e.refuseAll(codes.KeyExpired, sardine.RanUnknown)), k.abandon(e)...)
	default:
		return append(k.release(e.refuseAll(codes.OutcomeUnknown, sardine.RanUnknown)), k.abandon(e)...)
	}
}

// granted dispatches the first request that still waits. With none left the key
// is freed; nothing has run.
func (k *Keeper) granted(now sardine.Millis, e *entry) []Action {
	actions := k.giveUp(now, e)
	if len(e.waiters) == 0 {
		return append(actions, k.move(e, dropping)...)
	}
	e.stage = running
	e.retries = 0
	return append(actions, e.dispatch())
}

// Ended takes the outcome of a dispatch. The waiters are told at once; the log
// follows. A node that fails before the log has it leaves the key with its
// outcome unknown, which contradicts no answer given.
func (k *Keeper) Ended(attempt uint64, o Outcome) ([]Action, error) {
	e := k.entries[attempt]
	if e == nil || e.stage != running {
		return nil, codes.New(codes.InvariantBroken, "attempt %d has ended but is not running", attempt)
	}
	if k.options.hooks.retryUnknown && o.Ran == sardine.RanUnknown {
		o.Ran = sardine.RanNo
	}
	e.outcome = o
	actions := k.release(e.tell())
	if o.Ran == sardine.RanNo {
		return append(actions, k.move(e, dropping)...), nil
	}
	if o.Code != codes.OK {
		e.outcome.Ran = sardine.RanUnknown // the log keeps no answer for it
	}
	return append(actions, k.move(e, finishing)...), nil
}

// dropped ends an attempt that never ran. Those who asked meanwhile start the
// next one.
func (k *Keeper) dropped(now sardine.Millis, e *entry) []Action {
	waiters := e.waiters
	e.waiters = nil
	k.close(e)
	if e.unresolved {
		e.stage = sweeping
		e.until = now + k.options.sweep
		e.nextAt = now + k.options.sweep/2
		k.entries[e.attempt] = e
	}
	if len(waiters) == 0 {
		return nil
	}
	next := k.open(e.key, e.fingerprint)
	next.waiters = waiters
	for _, w := range waiters {
		k.requests[w.request] = next
	}
	return k.claimNow(now, next)
}

// abandon ends an attempt that was not granted. If one of its proposals may
// still reach the log and be granted there, it is swept.
func (k *Keeper) abandon(e *entry) []Action {
	if !e.unresolved {
		return k.close(e)
	}
	return k.move(e, dropping)
}

// close forgets the attempt on this node.
func (k *Keeper) close(e *entry) []Action {
	delete(k.entries, e.attempt)
	if k.current[e.slot()] == e {
		delete(k.current, e.slot())
	}
	return nil
}
