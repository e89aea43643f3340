// Package claim runs a request with an idempotency key at most once over all
// entry nodes. Keeper is a pure core: the caller gives it the time, performs
// its actions in their order and calls it from one goroutine.
package claim

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Key names an idempotency key of a workspace.
type Key struct {
	Workspace sardine.Workspace
	Key       string
}

// RequestID names one caller's request that waits for an answer on this node.
type RequestID uint64

// ProposalID names one proposal to the log, resends included.
type ProposalID uint64

// Action is something that the caller of the keeper must do. The types below
// are all of them.
type Action interface {
	action()
}

// Propose sends a command to the log; call Proposed with what comes of it.
type Propose struct {
	ID      ProposalID
	Command state.Command
}

// Dispatch runs the request; call Ended once with the attempt and what comes of
// it. Request is the one that was offered first and still waits.
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

// Refuse tells a waiting request why it gets no answer.
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
	Answer state.Answer // whole, if Ran is RanYes and Code is codes.OK
	Code   codes.Code   // why there is no answer, else codes.OK
}
