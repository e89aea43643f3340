package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// handleVerdict processes the log's verdict on a claim.
func (k *Coordinator) handleVerdict(now sardine.Millis, e *entry, r state.Result) []Action {
	if r.Err != nil { // the log has no claim of the key but refuses to grant one
		return append(k.forgetAnswered(e.refuseAll(codes.Of(r.Err), sardine.RanNo)), k.abandon(e)...)
	}
	switch r.Verdict {
	case state.ClaimGranted:
		return k.handleGrant(now, e)
	case state.ClaimBusy:
		e.stage = waiting
		k.backoff(now, e)
		return nil
	case state.ClaimAnswered:
		return append(k.forgetAnswered(e.replyAll(r.Answer)), k.abandon(e)...)
	case state.ClaimReused:
		return append(k.forgetAnswered(e.refuseAll(codes.KeyReused, sardine.RanNo)), k.abandon(e)...)
	case state.ClaimExpired:
		return append(k.forgetAnswered(e.refuseAll(codes.KeyExpired, sardine.RanUnknown)), k.abandon(e)...)
	default:
		return append(k.forgetAnswered(e.refuseAll(codes.OutcomeUnknown, sardine.RanUnknown)), k.abandon(e)...)
	}
}

// handleGrant dispatches the first request that still waits. If none waits, the
// claim is dropped, since nothing has run.
func (k *Coordinator) handleGrant(now sardine.Millis, e *entry) []Action {
	actions := k.refuseExpired(now, e)
	if len(e.waiters) == 0 {
		return append(actions, k.enter(e, dropping)...)
	}
	e.stage = running
	e.retries = 0
	return append(actions, e.dispatch())
}

// Ended processes the outcome of a dispatch. The waiters are answered at once
// and the outcome is committed afterwards. If the node fails before the commit,
// the key's outcome is unknown, which does not contradict the answers that were
// given.
func (k *Coordinator) Ended(attempt uint64, o Outcome) ([]Action, error) {
	e := k.entries[attempt]
	if e == nil || e.stage != running {
		return nil, codes.New(codes.InvariantBroken, "attempt %d has ended but is not running", attempt)
	}
	if k.options.hooks.retryUnknown && o.Ran == sardine.RanUnknown {
		o.Ran = sardine.RanNo
	}
	e.outcome = o
	actions := k.forgetAnswered(e.deliverOutcome())
	if o.Ran == sardine.RanNo {
		return append(actions, k.enter(e, dropping)...), nil
	}
	if o.Code != codes.OK {
		e.outcome.Ran = sardine.RanUnknown // there is no answer for the log to keep
	}
	return append(actions, k.enter(e, finishing)...), nil
}

// handleDropped ends an attempt that never ran. Requests that arrived meanwhile
// start the next attempt.
func (k *Coordinator) handleDropped(now sardine.Millis, e *entry) []Action {
	waiters := e.waiters
	e.waiters = nil
	k.close(e)
	if e.unresolved {
		e.stage = sweeping
		e.sweepUntil = now + k.options.sweep
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
	return k.proposeClaim(now, next)
}

// abandon ends an attempt that was not granted. If the log may still grant one
// of its proposals, the attempt is dropped and swept.
func (k *Coordinator) abandon(e *entry) []Action {
	if !e.unresolved {
		return k.close(e)
	}
	return k.enter(e, dropping)
}

// close removes the attempt from this node.
func (k *Coordinator) close(e *entry) []Action {
	delete(k.entries, e.attempt)
	if k.current[e.entryID()] == e {
		delete(k.current, e.entryID())
	}
	return nil
}
