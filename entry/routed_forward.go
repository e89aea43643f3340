package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
)

// maxBufferedBytes bounds an answer that is read completely before any of it is
// forwarded, so that the request can be retried if the answer breaks off.
const maxBufferedBytes = 64 << 10

const (
	// silenceFactor is applied to the pause after which a target is suspected,
	// to get the pause after which a stream moves: a single stream may be
	// waiting for its turn in the batch.
	silenceFactor = 1.8
	// moveShare is the part of a caller's disconnect gap after which a stalled stream
	// moves to another target, which needs the rest.
	moveShare = 0.6
)

// writeSlack is how long after a request's deadline its caller may take what has been read
// in time.
const writeSlack = sardine.Second

// Callers disconnect when a stream pauses for the longest of these times.
const (
	minDisconnectGap          = 2 * sardine.Second
	disconnectObjectiveFactor = 4 // times the route's objective
	disconnectGapFactor       = 8 // times the route's objective for pauses
)

// forward forwards an answer. whole reports whether its body was read to the
// end.
func (q *routedRun) forward(a *openAnswer) (whole bool, err error) {
	resp := a.Response
	if resp.StatusCode == http.StatusOK && q.route.Kind == sardine.RouteStream && isEventStream(resp) {
		return q.forwardStream(a)
	}
	if resp.StatusCode >= http.StatusInternalServerError && !q.headSent && q.mayMove() {
		return false, errTargetError
	}
	if q.headSent {
		return false, codes.New(codes.StreamBroken, "target answered %d when the stream was resumed there", resp.StatusCode)
	}
	q.node.health.suspend(q.healthRecord)
	body := progressReader{reader: resp.Body, run: q}
	isHead := q.request.Method == http.MethodHead
	if !isHead && resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBytes {
		return q.forwardBuffered(resp, body)
	}
	if isHead || resp.ContentLength >= 0 {
		return q.forwardAsItArrives(resp, body)
	}
	return q.forwardUnknownLength(resp, body)
}

// errTargetError is a target's own error response to a request that may run
// twice.
var errTargetError = codes.New(codes.TargetFailed, "the target answered with a server error")

// progressReader reads an answer's body and records that its target responds.
type progressReader struct {
	reader io.Reader
	run    *routedRun
}

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.run.progressed(false)
	}
	return n, err
}

// progressed records that the request's target has sent a part of its answer. One that
// comes through another entry node says nothing of the node's own links.
func (q *routedRun) progressed(stream bool) {
	if q.healthRecord == nil {
		return
	}
	q.node.links.progressed(&q.times.choice.Candidate)
	q.node.health.progress(q.healthRecord, stream)
}

// forwardBuffered reads a short answer completely before it forwards it.
func (q *routedRun) forwardBuffered(resp *http.Response, body io.Reader) (bool, error) {
	text := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(body, text); err != nil {
		return false, codes.Wrap(codes.StreamBroken, err, "the answer broke off")
	}
	if err := q.proceed(); err != nil {
		return false, err
	}
	q.sendHead(resp)
	_, _ = q.w.Write(text) // a caller that has disconnected needs no answer
	return true, nil
}

// sendHead sends the answer's status and header to the caller.
func (q *routedRun) sendHead(resp *http.Response) {
	h := q.w.Header()
	for name, values := range proxy.EndToEndHeader(resp.Header) {
		h[name] = values
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // net/http would guess one otherwise
	}
	q.markAnswer(h)
	left := max(q.deadline-q.node.clock.Now(), 0) + writeSlack
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(left.Duration())) // httptest recorders have no deadlines
	q.w.WriteHeader(resp.StatusCode)
	q.headSent = true
	q.times.firstAt = q.node.clock.Now()
	q.node.meter.firstToken(q.node.clock.Now() - q.arrived)
}

// forwardAsItArrives forwards an answer whose end is recognized, as the target sends it.
func (q *routedRun) forwardAsItArrives(resp *http.Response, body io.Reader) (bool, error) {
	if err := q.proceed(); err != nil {
		return false, err
	}
	q.sendHead(resp)
	err := q.copyBody(body)
	return err == nil, err
}

// forwardUnknownLength forwards an answer without a length. It reads a short one completely
// before it forwards it if another target can answer instead, or if only a check of the
// target shows whether it is whole.
func (q *routedRun) forwardUnknownLength(resp *http.Response, body io.Reader) (bool, error) {
	delimited := serve.Delimited(resp)
	if delimited && !q.mayMove() {
		return q.forwardAsItArrives(resp, body)
	}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return false, codes.Wrap(codes.StreamBroken, err, "the answer broke off")
	}
	if len(head) > maxBufferedBytes {
		if _, err := q.forwardAsItArrives(resp, io.MultiReader(bytes.NewReader(head), body)); err != nil {
			return false, err
		}
	}
	if err := q.checkEnd(delimited); err != nil {
		return false, err
	}
	if !q.headSent {
		if err := q.proceed(); err != nil {
			return false, err
		}
		resp.ContentLength = int64(len(head))
		q.sendHead(resp)
		_, _ = q.w.Write(head) // a caller that has disconnected needs no answer
	}
	return true, nil
}

// copyBytes is the size of the pieces in which a long answer is forwarded.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBody forwards a body. What has arrived is not held back for more.
func (q *routedRun) copyBody(body io.Reader) error {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	control := http.NewResponseController(q.w)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, err := q.w.Write(buffer[:n]); err != nil {
				return errCallerLeft
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return codes.Wrap(codes.StreamBroken, err, "the answer broke off")
		}
		if n == copyBytes {
			continue // more has probably arrived
		}
		if err := control.Flush(); err != nil {
			return errCallerLeft
		}
	}
}

// checkEnd returns an error if an answer may have broken off where it ended. If it is
// not delimited, it ended with its connection, as those of a process that exits do.
func (n *Node) checkEnd(delimited bool, c route.Candidate) error {
	if !delimited && n.exited(n.baseCtx, c.Address) {
		return codes.New(codes.StreamBroken, "the target exited at the end of an answer without a length")
	}
	return nil
}

// checkEnd is Node.checkEnd for the request's target. Another entry node's answers are
// always delimited.
func (q *routedRun) checkEnd(delimited bool) error {
	switch {
	case q.times.choice != nil:
		return q.node.checkEnd(delimited, q.times.choice.Candidate)
	case !delimited:
		return codes.New(codes.StreamBroken, "another entry node's answer has neither a length nor chunks")
	default:
		return nil
	}
}

// forwardStream forwards events one by one. The header is sent with the first event
// that has data; until then another target can answer instead.
func (q *routedRun) forwardStream(a *openAnswer) (bool, error) {
	delimited := serve.Delimited(a.Response)
	a.Response.ContentLength = -1 // another target may have to continue the answer
	a.SetExpiry(q.deadline)
	events := a.events
	if events == nil {
		events = proxy.NewEvents(a.Response.Body)
	}
	q.events.Begin()
	var held []byte // comments and empty events before the first one with data
	for {
		e, err := a.first, error(nil)
		if a.first = (proxy.Event{}); e.Raw == nil {
			e, err = events.Next()
		}
		if errors.Is(err, io.EOF) {
			err := q.endStream(a.Response, delimited, held)
			return err == nil, err
		}
		if err != nil {
			return false, codes.Wrap(codes.StreamBroken, err, "the stream broke off")
		}
		if e.Malformed && q.mayMove() {
			return false, codes.New(codes.AnswerInvalid, "the target sent bytes that are no event")
		}
		if !q.headSent && !e.HasData && q.mayMove() {
			held = append(held, e.Raw...)
			continue
		}
		forwardable, err := q.accept(e)
		if err != nil {
			return false, err
		}
		if !forwardable {
			continue
		}
		if e.HasData {
			q.recordEvent()
		}
		if !q.headSent {
			q.sendHead(a.Response)
			e.Raw = append(held, e.Raw...)
		}
		moveAt := q.handover.expect(0)
		if err := q.writeEvent(e.Raw, !events.Buffered()); err != nil {
			return false, err
		}
		if e.HasData {
			moveAt = q.node.clock.Now() + q.maxPause()
		}
		q.handover.expect(moveAt)
	}
}

// accept reports whether to forward the next event of a stream. It fails if the event is
// not part of the stream, or with errHandedOver.
func (q *routedRun) accept(e proxy.Event) (bool, error) {
	before := q.events
	forwardable, err := q.events.ShouldForward(e)
	if err != nil || !forwardable {
		return false, err
	}
	if err := q.proceedTo(e); err != nil {
		q.events = before // the event is not forwarded
		return false, err
	}
	return true, nil
}

// proceed asks to forward the answer, or the rest of it. It fails with errHandedOver if
// another target has taken the request over.
func (q *routedRun) proceed() error {
	return q.handover.proceed(q.events)
}

// proceedTo is proceed for the next event of a stream. An event without data does not
// show that the target works on the request.
func (q *routedRun) proceedTo(e proxy.Event) error {
	if e.HasData {
		q.handover.progress(q.node.clock.Now(), q.attemptEvents+1)
	}
	return q.proceed()
}

// endStream ends a stream at its answer's end. held is what was not forwarded yet of an
// answer without data.
func (q *routedRun) endStream(resp *http.Response, delimited bool, held []byte) error {
	if err := q.events.End(); err != nil {
		return err
	}
	if err := q.checkEnd(delimited); err != nil {
		return err
	}
	if !q.headSent {
		if err := q.proceed(); err != nil {
			return err
		}
		q.sendHead(resp)
		_, _ = q.w.Write(held) // a caller that has disconnected needs no answer
	}
	return nil
}

// writeEvent sends an event to the caller. The target is not waited for meanwhile.
func (q *routedRun) writeEvent(raw []byte, flush bool) error {
	q.node.health.suspend(q.healthRecord)
	defer q.node.health.resume(q.healthRecord)
	if _, err := q.w.Write(raw); err != nil {
		return errCallerLeft
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// recordEvent records an event that has data.
func (q *routedRun) recordEvent() {
	if q.attemptEvents++; q.attemptEvents == guard.ProvenEvents {
		q.losses.began()
	}
	q.progressed(true)
	q.recordGap()
}

// recordGap records the pause between two events.
func (q *routedRun) recordGap() {
	now := q.node.clock.Now()
	if q.lastEventAt > 0 {
		q.node.meter.gap(now - q.lastEventAt)
		q.node.batchBounds.ObserveGap(now, q.service.routeName(), now-q.lastEventAt)
	}
	q.times.events++
	if pause := now - q.lastEventAt; q.lastEventAt > 0 && pause > q.times.longestPause {
		q.times.longestPause, q.times.longestPauseAt = pause, q.lastEventAt
	}
	q.lastEventAt = now
}

// maxPause returns the pause after which the stream moves to another target:
// longer than a healthy target needs, but less than the gap after which the
// caller disconnects.
func (q *routedRun) maxPause() sardine.Millis {
	normal := silenceFactor * float64(q.node.health.gap(q.service.routeName()))
	return sardine.Millis(min(normal, moveShare*float64(q.disconnectGap())))
}

// disconnectGap returns the pause after which the caller disconnects.
func (q *routedRun) disconnectGap() sardine.Millis {
	return max(minDisconnectGap, disconnectObjectiveFactor*q.route.Objective, disconnectGapFactor*q.route.MaxGap)
}
