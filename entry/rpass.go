package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/proxy"
)

// heldBytes bounds an answer that is read whole before the caller gets any of
// it, so that one that breaks off can be had again.
const heldBytes = 64 << 10

const (
	// silenceFactor is how many times as long a stream's pause may last as one that
	// makes its target a suspect: this stream alone may wait for its turn.
	silenceFactor = 1.8
	// moveShare is the part of a caller's patience after which a stream that stands
	// still goes on elsewhere, which takes the rest.
	moveShare = 0.6
)

// Callers leave a stream after the longest of these pauses.
const (
	patienceLeast      = 2 * sardine.Second
	patienceObjectives = 4 // times the route's objective
	patienceGaps       = 8 // times the route's longest pause in time
)

// pass passes an answer on. whole tells that its body was read to the end.
func (q *routed) pass(a *proxy.Answer) (whole bool, err error) {
	resp := a.Response
	if resp.StatusCode == http.StatusOK && q.route.Kind == sardine.RouteStream && isEventStream(resp) {
		return q.passStream(a)
	}
	if resp.StatusCode >= http.StatusInternalServerError && !q.began && q.mayMove() {
		return false, errTargetError
	}
	if q.began {
		return false, codes.New(codes.StreamBroken, "target answered %s to the rest of a stream", resp.Status)
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= heldBytes {
		return q.passHeld(a)
	}
	return q.passThrough(a)
}

// errTargetError is a target's own failure of a request that may run twice.
var errTargetError = codes.New(codes.TargetFailed, "the target answered with an error of its own")

// passHeld reads a short answer whole before it is passed on.
func (q *routed) passHeld(a *proxy.Answer) (bool, error) {
	body := make([]byte, a.Response.ContentLength)
	if _, err := io.ReadFull(a.Response.Body, body); err != nil {
		return false, codes.Wrap(codes.StreamBroken, err, "the answer broke off")
	}
	q.head(a.Response)
	_, _ = q.w.Write(body) // a caller that has left needs no answer
	return true, nil
}

// head passes the answer's status and header on.
func (q *routed) head(resp *http.Response) {
	h := q.w.Header()
	for name, values := range proxy.EndToEnd(resp.Header) {
		h[name] = values
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // or net/http would guess one
	}
	q.w.WriteHeader(resp.StatusCode)
	q.began = true
	q.times.firstAt = q.node.clock.Now()
	q.node.meter.firstToken(q.node.clock.Now() - q.arrived)
}

// passThrough passes a long answer on as it comes.
func (q *routed) passThrough(a *proxy.Answer) (bool, error) {
	q.head(a.Response)
	if _, err := io.Copy(q.w, a.Response.Body); err != nil {
		return false, codes.Wrap(codes.StreamBroken, err, "the answer broke off")
	}
	return true, nil
}

// passStream passes events on one by one. The head waits for the first event:
// until then another target can answer instead.
func (q *routed) passStream(a *proxy.Answer) (bool, error) {
	a.Response.ContentLength = -1 // another target may have to go on with the answer
	events := proxy.NewEvents(a.Response.Body)
	control := http.NewResponseController(q.w)
	q.events.Begin()
	next := q.eventBy()
	for {
		a.Expire(next)
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if err := q.events.End(); err != nil {
				return false, err
			}
			if !q.began {
				q.head(a.Response)
			}
			return true, nil
		}
		if err != nil {
			return false, codes.Wrap(codes.StreamBroken, err, "the stream broke off")
		}
		passes, err := q.events.Take(e)
		if err != nil {
			return false, err
		}
		if !passes {
			continue
		}
		if e.Data {
			q.node.vitals.progress(q.flight, true)
			q.noteGap()
			next = q.eventBy()
		}
		if !q.began {
			q.head(a.Response)
		}
		if _, err := q.w.Write(e.Raw); err != nil {
			return false, codes.Wrap(codes.StreamBroken, err, "the caller is gone")
		}
		if events.Buffered() {
			continue
		}
		if err := control.Flush(); err != nil {
			return false, codes.Wrap(codes.StreamBroken, err, "the caller is gone")
		}
	}
}

// noteGap measures the pause before an event that follows another one.
func (q *routed) noteGap() {
	now := q.node.clock.Now()
	if q.eventAt > 0 {
		q.node.meter.gap(now - q.eventAt)
		q.node.paces.Paused(now, q.service.routed(), now-q.eventAt)
	}
	q.times.events++
	if pause := now - q.eventAt; q.eventAt > 0 && pause > q.times.pause {
		q.times.pause, q.times.pausedAt = pause, q.eventAt
	}
	q.eventAt = now
}

// eventBy returns when the next event must be there.
func (q *routed) eventBy() sardine.Millis {
	if !q.began || !q.mayMove() {
		return q.deadline
	}
	return min(q.deadline, q.node.clock.Now()+q.longestPause())
}

// longestPause returns the pause after which the stream goes on elsewhere: longer
// than the work of a sound target explains, unless the caller left before.
func (q *routed) longestPause() sardine.Millis {
	sound := silenceFactor * float64(q.node.vitals.gap(q.service.routed()))
	return sardine.Millis(min(sound, moveShare*float64(q.patience())))
}

// patience returns the pause after which the caller leaves.
func (q *routed) patience() sardine.Millis {
	return max(patienceLeast, patienceObjectives*q.route.Objective, patienceGaps*q.route.Gap)
}
