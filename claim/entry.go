package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// stage is where a key stands on this node.
type stage uint8

const (
	claiming  stage = iota + 1 // proposed, no definite answer yet
	waiting                    // another node runs it; claimed again later
	running                    // dispatched here
	finishing                  // ended here, the log does not yet say so
	dropping                   // never ran, the log does not yet say so
	sweeping                   // dropped; late duplicates of its claim are undone
)

// String returns the name used in dumps.
func (s stage) String() string {
	names := [...]string{"none", "claiming", "waiting", "running", "finishing", "dropping", "sweeping"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// entry is one key that this node acts on.
type entry struct {
	key         Key
	fingerprint []byte
	attempt     uint64
	stage       stage
	waiters     []waiter
	outcome     Outcome
	pending     ProposalID     // the proposal that awaits its result, 0 if none
	unresolved  bool           // a proposal's outcome stayed unknown
	retries     int            // proposals in this stage
	nextAt      sardine.Millis // of the next proposal, if none is pending
	until       sardine.Millis // end of sweeping
}

// slot is what requests must agree on to share one entry. A request with another
// body gets an entry of its own, which the log refuses or grants.
type slot struct {
	key         Key
	fingerprint string
}

func (e *entry) slot() slot {
	return slot{key: e.key, fingerprint: string(e.fingerprint)}
}

func (e *entry) dispatch() Action {
	return Dispatch{Key: e.key, Attempt: e.attempt, Request: e.waiters[0].request}
}

// waiter is one caller's request on a key.
type waiter struct {
	request  RequestID
	deadline sardine.Millis
}

// command returns the proposal of the entry's stage.
func (k *Keeper) command(e *entry) state.Command {
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

// tell gives all waiters the outcome of the dispatch.
func (e *entry) tell() []Action {
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
