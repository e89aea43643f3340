package entry

import (
	"context"
	"net/http"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/uplink"
)

const (
	// maxTaken is the number of requests of other entry nodes that a node has in hand.
	maxTaken = 4096
	// passHeaderBytes is the size of the headers that a pass adds to a request.
	passHeaderBytes = 4 << 10
	// takenPollInterval is the time between two looks whether the requests of other nodes
	// have ended.
	takenPollInterval = 20 * sardine.Millis(1)
)

// taken counts the requests of other entry nodes that this one has taken over.
type taken struct {
	mu    sync.Mutex
	count int
}

// begin counts a request. It returns false if there are too many.
func (t *taken) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count >= maxTaken {
		return false
	}
	t.count++
	return true
}

func (t *taken) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
}

func (t *taken) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// awaitTaken waits until the requests of other nodes have ended.
func (n *Node) awaitTaken(ctx context.Context) error {
	for n.taken.inFlight() > 0 {
		if err := n.sleep(ctx, takenPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// handlePass serves a request that another entry node passes to this one. It is checked
// like one of a caller of this node.
func (n *Node) handlePass(w http.ResponseWriter, r *http.Request) {
	q := n.newRun(w)
	passed, original, err := readPassed(r)
	q.passed = &passed
	if err != nil {
		q.refuse(err)
		return
	}
	if !n.taken.begin() {
		q.call, _ = n.callers.Call(original) // for the request's id
		q.refuse(codes.New(codes.QueueFull, "this entry node has %d requests of others already", maxTaken))
		return
	}
	defer n.taken.end()
	n.meter.taken()
	q.arrived -= min(passed.age, q.arrived)
	q.isCounted = passed.counted
	q.handle(original)
}

// mayTake returns an error if the node can't take over a request that another one passes
// to it.
func (n *Node) mayTake(p *passedRequest) error {
	switch {
	case n.draining.Load():
		return codes.New(codes.Draining, "this entry node is shutting down")
	case n.isolated():
		return errNoLinks
	case n.view().layoutNumber() < p.layout:
		return codes.New(codes.NoLease, "this entry node does not have layout %d yet", p.layout)
	default:
		return nil
	}
}

// applyPass applies what the passing node states of a request, whose route is known.
func (q *routedRun) applyPass() {
	p := q.passed
	q.deadline = min(q.deadline, q.node.clock.Now()+p.left)
	q.attempts = max(max(q.route.MaxAttempts, 1)-p.granted, 0)
	q.attemptsBefore = q.attempts
	if p.lastEvent != "" {
		q.call.LastEvent = p.lastEvent
	}
}

// markAnswer states in a target's answer to a passed request what has been done.
func (q *routedRun) markAnswer(h http.Header) {
	if q.passed != nil {
		passedAnswer{request: q.call.ID, used: q.attempts - q.attemptsBefore, ran: q.ran}.write(h)
	}
}

// markRefusal states in the refusal of a passed request what has been done.
func (q *routedRun) markRefusal(h http.Header, err error, after sardine.Millis) {
	if q.passed != nil {
		passedAnswer{
			request: q.call.ID, used: q.attempts - q.attemptsBefore, ran: q.ran, code: codes.Of(err), retry: after, elsewhere: q.mayRunElsewhere(err),
		}.write(h)
	}
}

// mayRunElsewhere reports whether a passed request has failed for a reason that does not
// concern other nodes, and has not been sent to a target.
func (q *routedRun) mayRunElsewhere(err error) bool {
	if q.ran != sardine.RanNo || q.attempts > q.attemptsBefore {
		return false
	}
	switch codes.Of(err) {
	case codes.Draining, codes.Isolated, codes.NoLease, codes.UploadsFull:
		return true
	case codes.QueueFull:
		return q.route == nil // too many requests of others
	case codes.NoTarget:
		return q.node.links.current() != uplink.Connected
	default:
		return false
	}
}
