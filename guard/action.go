// Package guard limits the groups that a request which crashes its targets can
// take down to two. Guard has no I/O or clock: the caller passes the time,
// performs the returned actions in order and calls it from one goroutine.
package guard

import (
	"crypto/sha256"
	"encoding/hex"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Fingerprint identifies the work that a request asks of a target. Resends of a
// request have the same fingerprint.
type Fingerprint [16]byte

// String returns the hexadecimal form, for use in keys and messages.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// FingerprintOf returns the fingerprint of a request: a hash of its body and of the
// parts that distinguish it from others, such as its caller, method and path. Headers
// are left out, since a resend may have different ones.
func FingerprintOf(body []byte, parts ...string) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// StrikeReader reads the strikes from this node's copy of the replicated state.
// state.Machine implements it.
type StrikeReader interface {
	// StrikeGroups returns the groups that failed while they ran a request with the
	// fingerprint.
	StrikeGroups(fingerprint []byte) []sardine.GroupID
	// Index returns the index of the last log entry that StrikeGroups reflects.
	Index() uint64
}

// Action is something that the caller of the guard must do: one of the types
// below.
type Action interface {
	action()
}

// Run allows a request to be dispatched. The caller then calls Dispatched and Ended.
type Run struct {
	Request claim.RequestID
	Avoid   []sardine.GroupID // groups that must not get the request
	Prefer  sardine.GroupID   // group to use if it accepts the request, "" for any
}

// Refuse refuses a request that must not run. Code is codes.PoisonRequest, or
// codes.QueueFull or codes.NoQuorum if it was not allowed to run before its
// deadline.
type Refuse struct {
	Request claim.RequestID
	Code    codes.Code
}

// Propose proposes a command to the log. The caller then calls Proposed with the
// result.
type Propose struct {
	ID      claim.ProposalID
	Command state.Command
}

// StrikeCommitted reports that the request's strike is committed at Index. Until every
// entry node has applied Index, the request must not be answered or retried: a
// resend through a node that has not applied it could crash one more group.
type StrikeCommitted struct {
	Request claim.RequestID
	Index   uint64
}

func (Run) action()             {}
func (Refuse) action()          {}
func (Propose) action()         {}
func (StrikeCommitted) action() {}

// Outcome is the outcome of a dispatch for the group that ran it.
type Outcome uint8

// The outcomes of a dispatch.
const (
	OutcomeCompleted Outcome = iota + 1 // the group sent a complete answer
	OutcomeCrashed                      // the connection broke and the group's process exited
	OutcomeUnknown                      // the group timed out or refused, or the caller canceled
)

// DispatchResult is the result of a dispatch.
type DispatchResult struct {
	Group   sardine.GroupID
	Epoch   sardine.Epoch
	Outcome Outcome
}
