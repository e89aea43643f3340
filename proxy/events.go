package proxy

import (
	"bufio"
	"bytes"
	"io"

	"sardineswitch.dev/sardine/codes"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 64 << 10
	// maxIdleBytes bounds consecutive comments and events without content, in bytes.
	// A target may keep a connection open with them, but not for ever.
	maxIdleBytes = 64 << 10
)

// Event is one server-sent event of a stream.
type Event struct {
	ID      string // empty if it has none
	HasData bool   // it has a data field, unlike a comment or an empty event
	// Malformed reports that a line is neither a field nor a comment.
	Malformed bool
	Raw       []byte // with the empty line that ends the event
}

// Events reads a stream event by event. It never returns a part of an event, so
// that the stream can be resumed from another target.
type Events struct {
	reader *bufio.Reader
	idle   int // bytes read since the last event with content
}

// NewEvents returns a reader of the events in an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReader(body)}
}

// Next returns the next event, or io.EOF after the last one. It fails with
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *Events) Next() (Event, error) {
	next, err := e.read()
	if err != nil {
		return Event{}, err
	}
	e.idle += len(next.Raw)
	if next.HasData {
		e.idle = 0
	}
	if e.idle > maxIdleBytes {
		return Event{}, codes.New(codes.AnswerInvalid, "%d consecutive bytes of a stream have no content", e.idle)
	}
	return next, nil
}

// read reads up to the next empty line.
func (e *Events) read() (Event, error) {
	var next Event
	begun := false // the start of a long line has been read
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
		if !begun {
			next.addLine(line)
		}
		ended := err == nil && !begun && blank(line)
		if begun = err != nil; ended && len(next.Raw) > len(line) {
			return next, nil
		}
	}
}

// addLine records the fields of a line, or of the start of a long line.
func (e *Event) addLine(line []byte) {
	if id, found := bytes.CutPrefix(line, []byte("id:")); found {
		e.ID = string(bytes.TrimSpace(id))
	}
	e.HasData = e.HasData || bytes.HasPrefix(line, []byte("data"))
	e.Malformed = e.Malformed || !isField(line)
}

// isField reports whether a line of a stream begins with a field name in lower
// case, is empty, or is a comment.
func isField(line []byte) bool {
	for _, c := range line {
		switch {
		case c == ':' || c == '\r' || c == '\n':
			return true
		case c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9'):
			return false
		}
	}
	return true
}

func blank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// Buffered reports whether bytes of the next event have already been received.
func (e *Events) Buffered() bool {
	return e.reader.Buffered() > 0
}
