package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// stage is the progress of an entry.
type stage uint8

const (
	claiming  stage = iota + 1 // claim proposed, result not known yet
	waiting                    // another node holds the key; claimed again later
	running                    // dispatched by this node
	finishing                  // dispatch ended, not yet committed
	dropping                   // never ran, drop not yet committed
	sweeping                   // dropped; drops are repeated to undo late duplicates of its claim
)

// String returns the name used in dumps.
func (s stage) String() string {
	names := [...]string{"none", "claiming", "waiting", "running", "finishing", "dropping", "sweeping"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// entry is one attempt of this node at a key.
type entry struct {
	key         Key
	fingerprint []byte
	attempt     uint64
	stage       stage
	waiters     []waiter
	outcome     Outcome
	pending     ProposalID     // proposal without a result yet, 0 if none
	unresolved  bool           // the outcome of a proposal is unknown
	retries     int            // proposals in this stage
	nextAt      sardine.Millis // time of the next proposal if none is pending
	sweepUntil  sardine.Millis // end of sweeping
}

// entryID identifies the requests that share one entry: those with the same key
// and fingerprint. A request with another body gets its own entry, which the log
// refuses or grants.
type entryID struct {
	key         Key
	fingerprint string
}

func (e *entry) entryID() entryID {
	return entryID{key: e.key, fingerprint: string(e.fingerprint)}
}

func (e *entry) dispatch() Action {
	return Dispatch{Key: e.key, Attempt: e.attempt, Request: e.waiters[0].request}
}

// waiter is a caller's request that waits for the outcome of an entry.
type waiter struct {
	request  RequestID
	deadline sardine.Millis
}

// command returns the command that the entry's stage proposes.
func (k *Coordinator) command(e *entry) state.Command {
	switch e.stage {
	case finishing:
		return state.FinishClaim{
			Workspace: e.key.Workspace, Key: e.key.Key, Node: k.node, Incarnation: k.incarnation,
			Attempt: e.attempt, Ran: e.outcome.Ran, Answer: e.outcome.Answer,
		}
	case dropping, sweeping:
		return state.DropClaim{
			Workspace: e.key.Workspace, Key: e.key.Key, Node: k.node, Incarnation: k.incarnation,
			Attempt: e.attempt,
		}
	default:
		return state.ClaimKey{
			Workspace: e.key.Workspace, Key: e.key.Key, Fingerprint: e.fingerprint,
			Node: k.node, Incarnation: k.incarnation, Attempt: e.attempt,
		}
	}
}

// refuseAll refuses all waiters.
func (e *entry) refuseAll(code codes.Code, ran sardine.Ran) []Action {
	actions := make([]Action, 0, len(e.waiters))
	for _, w := range e.waiters {
		actions = append(actions, Refuse{Request: w.request, Code: code, Ran: ran})
	}
	e.waiters = nil
	return actions
}

// replyAll answers all waiters.
func (e *entry) replyAll(a state.Answer) []Action {
	actions := make([]Action, 0, len(e.waiters))
	for _, w := range e.waiters {
		actions = append(actions, Reply{Request: w.request, Answer: a})
	}
	e.waiters = nil
	return actions
}

// deliverOutcome answers all waiters with the outcome of the dispatch.
func (e *entry) deliverOutcome() []Action {
	o := e.outcome
	switch {
	case o.Ran == sardine.RanYes && o.Code == codes.OK:
		return e.replyAll(o.Answer)
	case o.Ran == sardine.RanNo:
		return e.refuseAll(o.Code, sardine.RanNo)
	default:
		return e.refuseAll(codes.OutcomeUnknown, o.Ran)
	}
}
