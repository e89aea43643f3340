// Package admit decides whether a request runs now, waits or is refused.
// Controller is a pure core: the caller gives it the time and calls it from one
// goroutine.
package admit

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Ticket names an offered request until it is done, refused or cancelled.
type Ticket uint64

// Request is what the controller needs to know about a request.
type Request struct {
	Service   sardine.ServiceName
	Workspace sardine.Workspace
	Priority  sardine.Priority
	Deadline  sardine.Millis // of the first token or the plain answer, 0 is none
	Cost      float64        // expected tokens to prefill and generate, 1 for a plain call
	Expected  sardine.Millis // time to first token the router expects, 0 takes the gate's own
}

// Verdict is what becomes of an offered request.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota + 1 // dispatch it now, then call Done
	Wait                      // queued, Next tells more
	Refuse                    // not run
)

// Decision answers Offer and Next.
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
	Overloaded                    // the target, or every target, refused for load
	Abandoned                     // the caller gave up, or nothing was dispatched
)
