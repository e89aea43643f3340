// Package admit decides whether a request runs now, waits or is refused.
// Controller does no I/O and reads no clock: the caller passes the time and
// calls it from one goroutine.
package admit

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Ticket identifies an offered request until it is done, refused or
// cancelled.
type Ticket uint64

// Request is what Controller uses of a request.
type Request struct {
	Service   sardine.ServiceName
	Workspace sardine.Workspace
	Priority  sardine.Priority
	Deadline  sardine.Millis // for the first token or the plain answer, 0 is none
	Cost      float64        // expected tokens to prefill and generate, 1 for a plain call
	Expected  sardine.Millis // time to first token expected by the router, 0 uses the gate's mean
}

// Verdict is the decision about an offered request.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota + 1 // dispatch it now, then call Done
	Wait                      // queued; Next returns the final decision
	Refuse                    // not run
)

// Decision is returned by Offer, Next and Tick.
type Decision struct {
	Verdict    Verdict
	Ticket     Ticket
	Code       codes.Code     // of a refusal
	RetryAfter sardine.Millis // of a refusal, with jitter
}

// Outcome is how an admitted request ended.
type Outcome uint8

// The outcomes.
const (
	Answered   Outcome = iota + 1 // the target answered
	Failed                        // the target failed
	Overloaded                    // the target, or every target, refused for overload
	Abandoned                     // the caller canceled, or nothing was dispatched
)
