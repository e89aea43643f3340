// Package claim runs a request with an idempotency key at most once over all
// entry nodes. Coordinator has no I/O or clock: the caller passes the time, performs
// the returned actions in order and calls it from one goroutine.
package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Key is an idempotency key of a workspace.
type Key struct {
	Workspace sardine.Workspace
	Key       string
}

// RequestID identifies a caller's request on this node.
type RequestID uint64

// ProposalID identifies one proposal to the log. A command that is proposed
// again gets a new ID.
type ProposalID uint64

// Action is something that the caller of the coordinator must do: one of the types
// below.
type Action interface {
	action()
}

// Propose proposes a command to the log. The caller then calls Proposed with the
// result.
type Propose struct {
	ID      ProposalID
	Command state.Command
}

// Dispatch runs the request. The caller then calls Ended once, with the attempt
// and the outcome. Request is the first offered one that still waits.
type Dispatch struct {
	Key     Key
	Attempt uint64
	Request RequestID
}

// Reply answers a waiting request.
type Reply struct {
	Request RequestID
	Answer  state.Answer
}

// Refuse refuses a waiting request. Ran reports whether a target ran it.
type Refuse struct {
	Request RequestID
	Code    codes.Code
	Ran     sardine.Ran
}

func (Propose) action()  {}
func (Dispatch) action() {}
func (Reply) action()    {}
func (Refuse) action()   {}

// Outcome is how a dispatched request ended.
type Outcome struct {
	Ran    sardine.Ran
	Answer state.Answer // complete if Ran is RanYes and Code is codes.OK
	Code   codes.Code   // reason why there is no answer, codes.OK if there is one
}
