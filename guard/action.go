// Package guard keeps a request that crashes its targets from costing more than
// two groups. Guard is a pure core: the caller gives it the time, performs its
// actions in their order and calls it from one goroutine.
package guard

import (
	"crypto/sha256"
	"encoding/hex"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Fingerprint identifies what a target would run: resends of a request have the
// same one, whoever sends them.
type Fingerprint [16]byte

// String returns the hexadecimal form. Keys and messages hold text only.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// Of returns the fingerprint of a request: its body, and what else tells it from
// others, such as its caller, method and path. Headers stay out, a resend may
// differ in them.
func Of(body []byte, parts ...string) Fingerprint {
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

// Register tells the strikes that this node knows of. state.Machine is one.
type Register interface {
	// Strikes returns the groups that failed while they ran the fingerprint.
	Strikes(fingerprint []byte) []sardine.GroupID
	// Index returns the index of the last log entry that Strikes reflects.
	Index() uint64
}

// Action is something that the caller of the guard must do. The types below are
// all of them.
type Action interface {
	action()
}

// Run allows a request to be dispatched, then call Placed and Ended.
type Run struct {
	Request claim.RequestID
	Avoid   []sardine.GroupID // not on these
	Prefer  sardine.GroupID   // on this one if it takes the request, "" is any
}

// Refuse tells a request that it is not run. Code is codes.PoisonRequest, or
// codes.QueueFull or codes.NoQuorum if its turn did not come before its
// deadline.
type Refuse struct {
	Request claim.RequestID
	Code    codes.Code
}

// Propose sends a command to the log; call Proposed with what comes of it.
type Propose struct {
	ID      claim.ProposalID
	Command state.Command
}

// Struck says that the request's strike is in the log at Index. Until every
// entry node has applied Index, its caller must not be answered and it must not
// be retried: a resend through a node behind it would cost one group more.
type Struck struct {
	Request claim.RequestID
	Index   uint64
}

func (Run) action()     {}
func (Refuse) action()  {}
func (Propose) action() {}
func (Struck) action()  {}

// Fate is what became of the group that ran a request.
type Fate uint8

// The fates.
const (
	Survived Fate = iota + 1 // it answered in full
	Crashed                  // its process ended the connection and is gone
	Unclear                  // silence, a cancelled request, or a refusal
)

// End tells how a dispatch ended.
type End struct {
	Group sardine.GroupID
	Epoch sardine.Epoch
	Fate  Fate
}
