package pool

import (
	"bufio"
	"bytes"
	"errors"
)

// Limits of what a target sends before an answer's body, including interim (1xx)
// answers. They are checked before the parser stores anything.
const (
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	maxInterim   = 8 // interim answers
)

var (
	errHeadTooLong    = errors.New("the answer's head is too long")
	errInterimAnswers = errors.New("too many interim answers")
)

// headLimiter is the reader between a connection and the parser of answers. It passes
// the bytes of a head line by line, after checking its limits, and those of a body as
// they arrive.
type headLimiter struct {
	source  *bufio.Reader
	inHead  bool
	pending []byte // rest of the current line
	bytes   int    // bytes of the exchange's heads so far
	lines   int    // lines of the exchange's heads so far
	length  bool   // a head has a Content-Length
	chunked bool   // a head has a Transfer-Encoding
}

func newHeadLimiter(source *bufio.Reader) *headLimiter {
	return &headLimiter{source: source}
}

// reset prepares for the heads of a new exchange.
func (l *headLimiter) reset() {
	l.bytes, l.lines = 0, 0
	l.length, l.chunked = false, false
}

// ambiguous reports whether the head has both a Content-Length and a
// Transfer-Encoding. A proxy in between may use the other one than the parser, so it
// is uncertain where the next answer begins.
func (l *headLimiter) ambiguous() bool {
	return l.length && l.chunked
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if len(l.pending) == 0 && !l.inHead {
		return l.source.Read(p)
	}
	if len(l.pending) == 0 {
		if err := l.nextLine(); err != nil {
			return 0, err
		}
	}
	n := copy(p, l.pending)
	l.pending = l.pending[n:]
	return n, nil
}

// nextLine reads the next line of a head, or the next part of a long line.
func (l *headLimiter) nextLine() error {
	line, err := l.source.ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) && len(line) == 0 {
		return err
	}
	l.bytes += len(line)
	l.lines++
	if l.bytes > maxHeadBytes || l.lines > maxHeadLines {
		return errHeadTooLong
	}
	l.inspect(line)
	l.pending = line
	return nil
}

// inspect detects the end of the head and the fields that give the body's length.
func (l *headLimiter) inspect(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(bytes.TrimRight(line, "\r\n")) == 0:
		l.inHead = false
	case bytes.EqualFold(name, []byte("Content-Length")):
		l.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		l.chunked = true
	}
}
