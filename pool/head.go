package pool

import (
	"bufio"
	"bytes"
	"errors"
)

// Bounds of what a target sends before an answer's body, the interim answers
// (1xx) included. They hold before the parser keeps anything.
const (
	headBytes   = 32 << 10 // bytes
	headLines   = 256      // lines
	interimMost = 8        // interim answers
)

var (
	errHeadTooLong    = errors.New("the answer's head is too long")
	errInterimAnswers = errors.New("too many interim answers")
)

// framer feeds a connection's bytes to the parser of answers: those of a head line
// by line, so that its bounds are checked first, those of a body as they come.
type framer struct {
	source  *bufio.Reader
	inHead  bool
	rest    []byte // of the line that is handed out
	bytes   int    // of the exchange's heads so far
	lines   int
	length  bool // a head has a Content-Length
	chunked bool // a head has a Transfer-Encoding
}

func newFramer(source *bufio.Reader) *framer {
	return &framer{source: source}
}

// begin starts the heads of an exchange.
func (f *framer) begin() {
	f.bytes, f.lines = 0, 0
	f.length, f.chunked = false, false
}

// ambiguous reports whether the head states the body's length in two ways. A
// proxy on the way may have taken the other one, so that it is not certain
// where the next answer begins.
func (f *framer) ambiguous() bool {
	return f.length && f.chunked
}

// Read implements io.Reader.
func (f *framer) Read(p []byte) (int, error) {
	if len(f.rest) == 0 && !f.inHead {
		return f.source.Read(p)
	}
	if len(f.rest) == 0 {
		if err := f.nextLine(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// nextLine takes the next line of a head, or the next part of a long one.
func (f *framer) nextLine() error {
	line, err := f.source.ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) && len(line) == 0 {
		return err
	}
	f.bytes += len(line)
	f.lines++
	if f.bytes > headBytes || f.lines > headLines {
		return errHeadTooLong
	}
	f.note(line)
	f.rest = line
	return nil
}

// note looks for what ends the head and what tells the body's length.
func (f *framer) note(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(bytes.TrimRight(line, "\r\n")) == 0:
		f.inHead = false
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	}
}
