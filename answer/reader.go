// Package answer reads the answers on an HTTP/1.1 connection. A head is limited and checked
// as a whole before it is parsed.
package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// Limits of what a server sends before an answer's body, including interim (1xx)
// answers. They are checked before the parser stores anything.
const (
	MaxHeadBytes = 32 << 10
	maxHeadLines = 256
	maxInterim   = 8 // interim answers
)

// bufferBytes is enough for one event or the head of most answers.
const bufferBytes = 4 << 10

// Errors of Next.
var (
	ErrHeadTooLong    = errors.New("the answer's head is too long")
	errInterimAnswers = errors.New("too many interim answers")
	errTrailer        = errors.New("the answer's trailer is not valid")
)

// Reader reads the answers on a connection, one after the other.
type Reader struct {
	source io.Reader     // the connection
	buffer *bufio.Reader // holds a whole head before the parser gets any of it
	bytes  int           // bytes of the exchange's heads so far
	lines  int           // lines of the exchange's heads so far
	head   head          // the one that was read last
}

// NewReader returns a reader of the answers on a connection.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: bufio.NewReaderSize(source, bufferBytes)}
}

// Next reads the head of the answer to a request with the given method, after any interim
// ones. The caller must read its body to the end before the next call.
func (r *Reader) Next(method string) (*http.Response, error) {
	r.bytes, r.lines = 0, 0
	for range maxInterim + 1 {
		if err := r.awaitHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		if err != nil {
			return nil, errFraming // the parser's error quotes the head
		}
		if !r.head.isInterim() {
			if r.head.chunked {
				resp.Body = &chunkedBody{ReadCloser: resp.Body}
			}
			return resp, nil
		}
	}
	return nil, errInterimAnswers
}

// Buffered reports whether bytes after the last answer have been read.
func (r *Reader) Buffered() bool {
	return r.buffer.Buffered() > 0
}

// Ambiguous reports whether the last head has both a Content-Length and a
// Transfer-Encoding. A proxy in between may use the other one than the parser, so it
// is uncertain where the next answer begins.
func (r *Reader) Ambiguous() bool {
	return r.head.length && r.head.chunked
}

// awaitHead returns once the buffer begins with a whole head within the limits.
func (r *Reader) awaitHead() error {
	r.head = head{}
	for begin := 0; ; {
		line, err := r.awaitLine(begin)
		if err != nil {
			return err
		}
		begin += len(line)
		if err := r.count(len(line)); err != nil {
			return err
		}
		if isBlank(line) {
			return r.head.check()
		}
		if err := r.head.add(line); err != nil {
			return err
		}
	}
}

// awaitLine waits for a whole line that begins at a place in the buffer. It fails as soon
// as the beginning of the line is not valid.
func (r *Reader) awaitLine(begin int) ([]byte, error) {
	for known := begin; ; {
		buffered, err := r.peek(known + 1)
		if err != nil {
			return nil, err
		}
		if length := bytes.IndexByte(buffered[known:], '\n'); length >= 0 {
			return buffered[begin : known+length+1], nil
		}
		known = len(buffered)
		if err := r.head.checkBegin(buffered[begin:]); err != nil {
			return nil, err
		}
		if r.bytes+known-begin > MaxHeadBytes {
			return nil, ErrHeadTooLong
		}
	}
}

// count adds a line to the exchange's heads.
func (r *Reader) count(length int) error {
	r.bytes += length
	r.lines++
	if r.bytes > MaxHeadBytes || r.lines > maxHeadLines {
		return ErrHeadTooLong
	}
	return nil
}

// peek waits for at least n bytes and returns all bytes that are buffered.
func (r *Reader) peek(n int) ([]byte, error) {
	if n > r.buffer.Size() {
		r.grow()
	}
	if buffered, err := r.buffer.Peek(n); err != nil {
		if errors.Is(err, io.EOF) && len(buffered) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return r.buffer.Peek(r.buffer.Buffered())
}

// grow replaces the buffer by one that holds the longest head and the byte after it.
func (r *Reader) grow() {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered()) // doesn't read
	begin := bytes.NewReader(bytes.Clone(buffered))
	r.buffer = bufio.NewReaderSize(io.MultiReader(begin, r.source), MaxHeadBytes+1)
}

// chunkedBody is the body of an answer with chunks. Errors of the parser, which quote the
// server's bytes, are replaced.
type chunkedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if parsing := textproto.ProtocolError(""); errors.As(err, &parsing) {
		return n, errTrailer
	}
	return n, err
}
