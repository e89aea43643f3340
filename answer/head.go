package answer

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// Errors of heads that are not valid. Their texts reach callers, so they contain none of
// the server's bytes.
var (
	errStatusLine = errors.New("the answer does not begin with a status line of HTTP/1")
	errStatus     = errors.New("the answer's status is not valid")
	errSwitching  = errors.New("the answer switches protocols unasked")
	errInterim    = errors.New("an interim answer has a body")
	errName       = errors.New("a field of the answer's head has no valid name")
	errValue      = errors.New("a field of the answer's head has a control character")
	errFraming    = errors.New("the answer's length or transfer coding is not valid")
)

const (
	// versionPrefix begins each status line; the minor version follows.
	versionPrefix = "HTTP/1."
	// statusAt is the place of the three digits of a status in its line.
	statusAt   = len(versionPrefix) + 2
	statusEnd  = statusAt + 3
	lastStatus = 599
)

// head collects what the lines of a head say about the answer.
type head struct {
	status  int  // 0 before the status line
	minor   byte // minor version of HTTP/1, a digit
	fields  int  // lines after the status line
	length  bool // it has a Content-Length
	chunked bool // it has a Transfer-Encoding
}

// add checks the next line and records it.
func (h *head) add(line []byte) error {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if h.status == 0 {
		return h.addStatusLine(line)
	}
	h.fields++
	if h.fields > 1 && isSpace(line[0]) { // a folded line goes on with the value before it
		return checkValue(line)
	}
	return h.addField(line)
}

// addField checks the line of a field. A blank before the colon would hide a length or a
// transfer coding from the parser.
func (h *head) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return errName
	}
	h.length = h.length || bytes.EqualFold(name, []byte("Content-Length"))
	h.chunked = h.chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return checkValue(value)
}

// checkBegin checks the part of a line that has been received. It detects that a server
// sends something else than an answer without its sending a line feed.
func (h *head) checkBegin(part []byte) error {
	n := min(len(part), len(versionPrefix))
	if h.status == 0 && string(part[:n]) != versionPrefix[:n] {
		return errStatusLine
	}
	return nil
}

// addStatusLine checks the status line. Its reason may be missing, and a status above 599
// is not valid (RFC 9110, 15).
func (h *head) addStatusLine(line []byte) error {
	if err := h.checkBegin(line); err != nil {
		return err
	}
	if len(line) < statusEnd || !isDigit(line[statusAt-2]) || line[statusAt-1] != ' ' {
		return errStatusLine
	}
	status := 0
	for _, b := range line[statusAt:statusEnd] {
		if !isDigit(b) {
			return errStatus
		}
		status = status*10 + int(b-'0')
	}
	switch {
	case len(line) > statusEnd && line[statusEnd] != ' ', status < http.StatusContinue, status > lastStatus:
		return errStatus
	case status == http.StatusSwitchingProtocols:
		return errSwitching
	}
	h.status, h.minor = status, line[statusAt-2]
	return checkValue(line[statusEnd:])
}

// check checks a head whose lines are all added.
func (h *head) check() error {
	switch {
	case h.status == 0:
		return errStatusLine
	case h.isInterim() && (h.length || h.chunked):
		return errInterim
	case h.chunked && h.minor == '0': // HTTP/1.0 has no transfer codings (RFC 9112, 6.1)
		return errFraming
	default:
		return nil
	}
}

// isInterim reports whether another answer follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK
}

// checkValue checks the bytes of a field's value or of a reason.
func checkValue[T []byte | string](value T) error {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f {
			return errValue
		}
	}
	return nil
}

// isToken reports whether a field's name is valid (RFC 9110, 5.6.2).
func isToken[T []byte | string](name T) bool {
	for i := range len(name) {
		if b := name[i]; !isDigit(b) && (b|0x20 < 'a' || b|0x20 > 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\t'
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

// isBlank reports whether a line is the empty one at the end of a head.
func isBlank(line []byte) bool {
	return line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}
