// Package trace keeps what an entry node did with its last requests, so that an
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

// maxSteps bounds the dispatches that a record names. Later ones are counted.
const maxSteps = 6

// Dispatch is one dispatch.
type Dispatch struct {
	Target route.Ref
	After  sardine.Millis // since the request's arrival
}

// Record is one request. Its methods are safe for concurrent use, since an
// operator may look at a request that runs.
type Record struct {
	id      sardine.RequestID
	number  uint64
	arrived sardine.Millis

	mu         sync.Mutex
	workspace  sardine.Workspace
	service    sardine.ServiceName
	waited     sardine.Millis // in the queue
	steps      [maxSteps]Dispatch
	dispatches int
	first      sardine.Millis // since arrival, 0 for none
	tokens     int
	ended      bool
	took       sardine.Millis
	code       codes.Code
	ran        sardine.Ran
	left       bool // the caller left
}

// Ring keeps the last Capacity records. It is safe for concurrent use.
type Ring struct {
	slots [Capacity]atomic.Pointer[Record]
}

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{}
}

// Begin records the arrival of the request with a number, which counts the node's
// requests.
func (r *Ring) Begin(number uint64, id sardine.RequestID, now sardine.Millis) *Record {
	k := &Record{id: id, number: number, arrived: now}
	r.slots[number%Capacity].Store(k)
	return k
}

// Find returns the record of a request's number, nil if it is not kept.
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

// SetService notes whose request it is, and for what.
func (k *Record) SetService(w sardine.Workspace, s sardine.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.workspace, k.service = w, s
}

// SetQueueTime notes the time in the queue.
func (k *Record) SetQueueTime(d sardine.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waited = d
}

// AddDispatch notes that the request goes to a target.
func (k *Record) AddDispatch(now sardine.Millis, target route.Ref) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dispatches < maxSteps {
		k.steps[k.dispatches] = Dispatch{Target: target, After: now - k.arrived}
	}
	k.dispatches++
}

// SetFirstToken notes the first token, or the head of a plain answer. Later calls change
// nothing.
func (k *Record) SetFirstToken(now sardine.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.first == 0 {
		k.first = max(now-k.arrived, 1)
	}
}

// Outcome is how a request ended.
type Outcome struct {
	Code       codes.Code // OK if it was answered
	Ran        sardine.Ran
	Tokens     int
	CallerLeft bool // the caller left before its answer was whole
}

// Finish notes the end.
func (k *Record) Finish(now sardine.Millis, e Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.took = now - k.arrived
	k.code, k.ran, k.tokens, k.left = e.Code, e.Ran, e.Tokens, e.CallerLeft
}
