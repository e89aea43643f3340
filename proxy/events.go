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
	// idleMost bounds the comments and empty events that follow one another, in
	// bytes. A target may keep a connection open with them, but not for ever.
	idleMost = 64 << 10
)

// Event is one event of a stream with the empty line that ends it.
type Event struct {
	ID   string // empty if it has none
	Data bool   // it has content, unlike a comment or an empty event
	// Foreign tells that a line is neither a field nor a comment.
	Foreign bool
	Raw     []byte
}

// Events reads a stream event by event. A part of an event is never returned, so
// that a stream can go on at another target.
type Events struct {
	reader *bufio.Reader
	idle   int // bytes since the last event with content
}

// NewEvents reads the events of an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReader(body)}
}

// Next returns the next event, or io.EOF after the last one. A stream that ends
// within an event gives io.ErrUnexpectedEOF.
func (e *Events) Next() (Event, error) {
	next, err := e.read()
	if err != nil {
		return Event{}, err
	}
	e.idle += len(next.Raw)
	if next.Data {
		e.idle = 0
	}
	if e.idle > idleMost {
		return Event{}, codes.New(codes.AnswerInvalid, "%d bytes of a stream have no content", e.idle)
	}
	return next, nil
}

// read reads up to the next empty line.
func (e *Events) read() (Event, error) {
	var next Event
	begun := false // the line's start has been read
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
			next.note(line)
		}
		ended := err == nil && !begun && blank(line)
		if begun = err != nil; ended && len(next.Raw) > len(line) {
			return next, nil
		}
	}
}

// note takes a line, or the start of a long one.
func (e *Event) note(line []byte) {
	if id, found := bytes.CutPrefix(line, []byte("id:")); found {
		e.ID = string(bytes.TrimSpace(id))
	}
	e.Data = e.Data || bytes.HasPrefix(line, []byte("data"))
	e.Foreign = e.Foreign || !isField(line)
}

// isField reports whether a line of a stream begins with a field's name in lower case,
// or is empty, or a comment.
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

// Buffered reports whether bytes of the next event are already here.
func (e *Events) Buffered() bool {
	return e.reader.Buffered() > 0
}
