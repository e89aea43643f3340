package serve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 64 << 10

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	endMark   = []byte("[DONE]")
)

// Event is one server-sent event of an answer, unchanged.
type Event struct {
	raw  []byte
	done bool
}

// Raw returns the event's bytes with the empty line that ends it. The slice is
// valid until the next call of Stream.Next.
func (e Event) Raw() []byte {
	return e.raw
}

// Done reports whether this is the end mark.
func (e Event) Done() bool {
	return e.done
}

// Stream reads a streamed answer and checks that it is whole and belongs to its
// request.
type Stream struct {
	reader   *bufio.Reader
	request  sardine.RequestID
	next     int // index of the next token
	finished bool
	raw      []byte
}

// NewStream returns a reader of the answer to request from body. first is the
// index of the first token that the caller lacks.
func NewStream(body io.Reader, request sardine.RequestID, first int) *Stream {
	return &Stream{reader: bufio.NewReaderSize(body, 4<<10), request: request, next: first}
}

// NextToken returns the index of the next token, which is the number of tokens that
// the caller has once all events are forwarded.
func (s *Stream) NextToken() int {
	return s.next
}

// Next returns the next event. It skips tokens that were already returned. It fails
// with codes.StreamBroken if the answer ends before its end mark or the target
// reports an error, and with codes.AnswerInvalid if the event is not part of this
// request's answer.
func (s *Stream) Next() (Event, error) {
	for {
		data, index, err := s.readEvent()
		if err != nil {
			return Event{}, err
		}
		if len(data) == 0 {
			continue // a comment keeps the connection open
		}
		if bytes.Equal(data, endMark) {
			return s.end()
		}
		repeated, err := s.checkToken(data, index)
		if err != nil {
			return Event{}, err
		}
		if repeated {
			continue
		}
		s.next++
		return Event{raw: s.raw}, nil
	}
}

func (s *Stream) end() (Event, error) {
	if !s.finished {
		return Event{}, codes.New(codes.AnswerInvalid, "end mark before a finish reason")
	}
	return Event{raw: s.raw, done: true}, nil
}

// readEvent reads up to the next empty line. It returns the data field, empty if
// the event has none, and the index in the id field, or -1.
func (s *Stream) readEvent() (data []byte, index int, err error) {
	s.raw = s.raw[:0]
	index = -1
	start, end := 0, 0
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, 0, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return bytes.TrimSpace(s.raw[start:end]), index, nil
		}
		at := len(s.raw) - len(line)
		switch {
		case bytes.HasPrefix(field, dataField):
			start, end = at+len(dataField), at+len(field)
		case bytes.HasPrefix(field, idField):
			index = parseIndex(field[len(idField):])
		}
	}
}

// readLine appends the next line to the event's bytes and returns it.
func (s *Stream) readLine() ([]byte, error) {
	at := len(s.raw)
	for {
		part, err := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, part...)
		if len(s.raw) > maxEventBytes {
			return nil, codes.New(codes.AnswerInvalid, "event of more than %d bytes", maxEventBytes)
		}
		if err == nil {
			return s.raw[at:], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, codes.New(codes.StreamBroken, "answer broke off after %d tokens: %v", s.next, err)
		}
	}
}

func parseIndex(field []byte) int {
	n, err := strconv.Atoi(string(bytes.TrimSpace(field)))
	if err != nil {
		return -1
	}
	return n
}

// eventJSON is the part of a completion chunk that is checked.
type eventJSON struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// checkToken checks that the event is the next token of this request. It returns
// true for a token that was already returned; a gap is an error.
func (s *Stream) checkToken(data []byte, index int) (repeated bool, err error) {
	var event eventJSON
	if err := json.Unmarshal(data, &event); err != nil {
		return false, codes.New(codes.AnswerInvalid, "event is not JSON")
	}
	if event.Error != nil {
		return false, codes.New(codes.StreamBroken, "target reports an error after %d tokens", s.next)
	}
	if event.ID != string(s.request) {
		return false, codes.New(codes.AnswerInvalid, "event belongs to another request than %q", s.request)
	}
	if index >= 0 && index < s.next {
		return true, nil
	}
	if index > s.next {
		return false, codes.New(codes.AnswerInvalid, "token %d follows token %d", index, s.next-1)
	}
	for _, c := range event.Choices {
		if c.FinishReason != nil {
			s.finished = true
		}
	}
	return false, nil
}

// Buffered reports whether bytes of the next event have already been received.
func (s *Stream) Buffered() bool {
	return s.reader.Buffered() > 0
}
