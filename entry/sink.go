package entry

import (
	"net/http"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/reply"
)

// sink writes one answer to its caller and records whether it has started.
type sink struct {
	callers sardine.CallerPort
	writer  http.ResponseWriter
	control *http.ResponseController
	request sardine.RequestID
	timeout time.Duration // of one write
	started bool          // the status and header were sent to the caller
}

func newSink(callers sardine.CallerPort, w http.ResponseWriter, id sardine.RequestID, timeout sardine.Millis) *sink {
	return &sink{
		callers: callers,
		writer:  w,
		control: http.NewResponseController(w),
		request: id,
		timeout: timeout.Duration(),
	}
}

// event forwards one server-sent event. If flush is false, more events are
// buffered already and are flushed together with it.
func (s *sink) event(raw []byte, flush bool) error {
	if !s.started {
		s.start()
	}
	s.extend()
	if _, err := s.writer.Write(raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}

func (s *sink) start() {
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(reply.HeaderRequest, string(s.request))
	h.Set("X-Accel-Buffering", "no") // proxies must not buffer the events
	s.writer.WriteHeader(http.StatusOK)
	s.started = true
}

// extend renews the write timeout. A caller that does not read for longer loses
// its answer, so that it can't hold the node's memory.
func (s *sink) extend() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout)) // httptest recorders have no deadlines
}

// fail ends the answer with an error. If the header was already sent, the
// status can't change: an error event is sent and the connection is aborted
// without the final chunk, so that no client takes it for the end of the
// answer.
func (s *sink) fail(r sardine.Refusal) {
	s.extend()
	if !s.started {
		s.callers.Refuse(s.writer, r)
		return
	}
	raw := append([]byte("event: error\ndata: "), reply.ProblemOf(r).JSON()...)
	_, _ = s.writer.Write(append(raw, '\n', '\n')) // the caller may have disconnected
	_ = s.control.Flush()
	panic(http.ErrAbortHandler)
}

// whole writes a complete answer.
func (s *sink) whole(status int, header http.Header, body []byte) error {
	s.extend()
	h := s.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(reply.HeaderRequest, string(s.request))
	h.Set(reply.HeaderRan, sardine.RanYes.String())
	s.writer.WriteHeader(status)
	s.started = true
	if _, err := s.writer.Write(body); err != nil {
		return codes.Wrap(codes.StreamBroken, err, "the caller disconnected")
	}
	return nil
}
