package proxy

import (
	"bufio"
	"bytes"
	"io"

	"sardineswitch.dev/sardine/codes"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Event is one event of a stream with the empty line that ends it.
type Event struct {
	ID  string // empty if it has none
	Raw []byte
}

// Events reads a stream event by event. A part of an event is never returned, so
// that a stream can go on at another target.
type Events struct {
	reader *bufio.Reader
}

// NewEvents reads the events of an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReader(body)}
}

// Next returns the next event, or io.EOF after the last one. A stream that ends
// within an event gives io.ErrUnexpectedEOF.
func (e *Events) Next() (Event, error) {
	var next Event
	for {
		line, err := e.reader.ReadSlice('\n')
		next.Raw = append(next.Raw, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(next.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		if len(next.Raw) > maxEvent {
			return Event{}, codes.New(codes.AnswerInvalid, "an event has more than %d bytes", maxEvent)
		}
		if err != nil {
			continue
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			next.ID = string(bytes.TrimSpace(id))
		}
		if blank(line) && len(next.Raw) > len(line) {
			return next, nil
		}
	}
}

func blank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// Buffered reports whether bytes of the next event are already here.
func (e *Events) Buffered() bool {
	return e.reader.Buffered() > 0
}
