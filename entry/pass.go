package entry

import (
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
)

// passStream passes a streamed answer on, token by token.
func (m *modelRun) passStream(resp *http.Response, choice *route.Choice, watch *watchdog, started sardine.Millis) error {
	stream := serve.NewStream(resp.Body, m.request.id, m.tokens)
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		watch.heard()
		if stream.Tokens() == m.tokens+1 && m.firstIn == 0 {
			m.noteFirst(resp, choice, started)
		}
		if err := m.sink.event(e.Raw(), !stream.Buffered()); err != nil {
			return codes.Wrap(codes.StreamBroken, err, "caller is gone")
		}
		m.tokens = stream.Tokens()
		if e.Done() {
			return nil
		}
	}
}

// noteFirst notes that the answer has begun.
func (m *modelRun) noteFirst(resp *http.Response, choice *route.Choice, started sardine.Millis) {
	m.deadline.Stop()
	m.request.trace.First(m.node.clock.Now())
	m.firstIn = max(m.node.clock.Now()-started, 1)
	m.node.gate.firstToken(choice, cachedTokens(resp.Header))
	m.node.gate.answered(m.ticket, m.firstIn)
	m.node.meter.firstToken(m.node.clock.Now() - m.request.arrived)
}

// passWhole passes an answer on that came in one piece.
func (m *modelRun) passWhole(resp *http.Response, choice *route.Choice, started sardine.Millis) error {
	body, err := serve.ReadWhole(resp, maxAnswerBytes)
	if err != nil {
		return err
	}
	if err := serve.CheckWhole(body, m.request.id); err != nil {
		return err
	}
	m.noteFirst(resp, choice, started)
	header := http.Header{"Content-Type": {resp.Header.Get("Content-Type")}, "Content-Length": {strconv.Itoa(len(body))}}
	return m.sink.whole(http.StatusOK, header, body)
}

// passRefusal handles an engine's answer that is neither tokens nor a refusal
// to start: a fault of the request goes to the caller as it is, a fault of the
// engine counts as a failed dispatch.
func (m *modelRun) passRefusal(resp *http.Response) error {
	body, err := serve.ReadWhole(resp, maxAnswerBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusInternalServerError || m.sink.started {
		return codes.New(codes.TargetFailed, "engine answered %s", resp.Status)
	}
	header := http.Header{"Content-Type": {resp.Header.Get("Content-Type")}, "Content-Length": {strconv.Itoa(len(body))}}
	return m.sink.whole(resp.StatusCode, header, body)
}
