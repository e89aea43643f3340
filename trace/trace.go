// Package trace records how an entry node handled its last requests, so that an
// operator can find out why an answer was late.
package trace

import (
	"sync"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// Capacity is the number of requests that a Ring keeps.
const Capacity = 4096

// maxListed is the number of dispatches that a record lists. Later ones are only
// counted.
const maxListed = 6

// Dispatch is one dispatch of a request to a target.
type Dispatch struct {
	Target route.Ref
	After  sardine.Millis // since the request's arrival
}

// Record is the trace of one request. Its methods are safe for concurrent use, since
// an operator may query a request while it runs.
type Record struct {
	id      sardine.RequestID
	number  uint64
	arrived sardine.Millis

	mu         sync.Mutex
	workspace  sardine.Workspace
	service    sardine.ServiceName
	queueTime  sardine.Millis // time in the queue
	listed     [maxListed]Dispatch
	dispatches int            // also those beyond maxListed
	firstToken sardine.Millis // time to the first token since the arrival, 0 for none
	tokens     int            // tokens of the answer
	ended      bool
	duration   sardine.Millis // from the arrival to the end
	code       codes.Code
	ran        sardine.Ran
	callerLeft bool // the caller left before the end
}

// Ring is a ring buffer of the last Capacity records. It is safe for concurrent use.
type Ring struct {
	slots [Capacity]atomic.Pointer[Record]
}

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{}
}

// Begin adds a record of a request that arrives now. number is the node's running
// number of the request.
func (r *Ring) Begin(number uint64, id sardine.RequestID, now sardine.Millis) *Record {
	k := &Record{id: id, number: number, arrived: now}
	r.slots[number%Capacity].Store(k)
	return k
}

// Find returns the record of the request with a number, nil if the ring does not
// contain it.
func (r *Ring) Find(number uint64) *Record {
	k := r.slots[number%Capacity].Load()
	if k == nil || k.number != number {
		return nil
	}
	return k
}

// ID returns the request's id.
func (k *Record) ID() sardine.RequestID {
	return k.id
}

// SetService records the request's workspace and service.
func (k *Record) SetService(w sardine.Workspace, s sardine.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.workspace, k.service = w, s
}

// SetQueueTime records the time in the queue.
func (k *Record) SetQueueTime(d sardine.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queueTime = d
}

// AddDispatch records a dispatch to a target.
func (k *Record) AddDispatch(now sardine.Millis, target route.Ref) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dispatches < maxListed {
		k.listed[k.dispatches] = Dispatch{Target: target, After: now - k.arrived}
	}
	k.dispatches++
}

// SetFirstToken records the time to the first token, or to the head of an answer
// that is not streamed. Later calls have no effect.
func (k *Record) SetFirstToken(now sardine.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.firstToken == 0 {
		k.firstToken = max(now-k.arrived, 1)
	}
}

// Outcome is the outcome of a request.
type Outcome struct {
	Code       codes.Code // OK if it was answered
	Ran        sardine.Ran
	Tokens     int  // tokens of the answer
	CallerLeft bool // the caller left before its answer was complete
}

// Finish records the outcome.
func (k *Record) Finish(now sardine.Millis, e Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.duration = now - k.arrived
	k.code, k.ran, k.tokens, k.callerLeft = e.Code, e.Ran, e.Tokens, e.CallerLeft
}
