package entry

import (
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
)

// forwardStream forwards a streamed answer, event by event.
func (m *modelRun) forwardStream(resp *http.Response, choice *route.Choice, watch *watchdog, started sardine.Millis) error {
	stream := serve.NewStream(resp.Body, m.request.id, m.tokens)
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		watch.reset()
		if stream.NextToken() == m.tokens+1 && m.firstTokenAfter == 0 {
			m.recordFirstToken(resp, choice, started)
		}
		if err := m.sink.event(e.Raw(), !stream.Buffered()); err != nil {
			return codes.Wrap(codes.StreamBroken, err, "the caller disconnected")
		}
		if m.tokens = stream.NextToken(); m.tokens >= guard.ProvenEvents {
			m.losses.began()
		}
		if e.Done() {
			return nil
		}
	}
}

// recordFirstToken records that the answer has started.
func (m *modelRun) recordFirstToken(resp *http.Response, choice *route.Choice, started sardine.Millis) {
	m.deadline.Stop()
	m.request.trace.SetFirstToken(m.node.clock.Now())
	m.firstTokenAfter = max(m.node.clock.Now()-started, 1)
	m.node.gate.firstToken(choice, cachedTokens(resp.Header))
	m.node.gate.recordFirstToken(m.ticket, m.firstTokenAfter)
	m.node.meter.firstToken(m.node.clock.Now() - m.request.arrived)
}

// forwardWhole forwards an answer that is not a stream.
func (m *modelRun) forwardWhole(resp *http.Response, choice *route.Choice, started sardine.Millis) error {
	if m.sink.started {
		return codes.New(codes.StreamBroken, "the engine resumed a stream with an answer that is none")
	}
	body, release, err := serve.ReadWhole(resp, maxAnswerBytes, m.node.answers)
	if err != nil {
		return err
	}
	defer release()
	if err := serve.CheckWhole(body, m.request.id); err != nil {
		return err
	}
	m.recordFirstToken(resp, choice, started)
	header := http.Header{"Content-Type": {resp.Header.Get("Content-Type")}, "Content-Length": {strconv.Itoa(len(body))}}
	return m.sink.whole(http.StatusOK, header, body)
}

// forwardStatus handles an answer of an engine with a status other than 200. A
// server error, or any status once the answer has started, counts as a failed
// dispatch. Any other status is the fault of the request and is forwarded.
func (m *modelRun) forwardStatus(resp *http.Response) error {
	body, release, err := serve.ReadWhole(resp, maxAnswerBytes, m.node.answers)
	if err != nil {
		return err
	}
	defer release()
	if resp.StatusCode >= http.StatusInternalServerError || m.sink.started {
		return codes.New(codes.TargetFailed, "engine answered %d", resp.StatusCode)
	}
	header := http.Header{"Content-Type": {resp.Header.Get("Content-Type")}, "Content-Length": {strconv.Itoa(len(body))}}
	return m.sink.whole(resp.StatusCode, header, body)
}
