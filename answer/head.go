package answer

import (
	"bytes"
	"errors"
	"net/http"
)

// Errors of heads that are not valid. Their texts reach callers, so they contain none of
// the server's bytes.
var (
	errStatusLine = errors.New("the answer does not begin with a status line of HTTP/1")
	errStatus     = errors.New("the answer's status is not valid")
	errSwitching  = errors.New("the answer switches protocols unasked")
	errInterim    = errors.New("an interim answer has a body")
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
	length  bool // it has a Content-Length
	chunked bool // it has a Transfer-Encoding
}

// add checks the next line and records it.
func (h *head) add(line []byte) error {
	if h.status == 0 {
		return h.addStatusLine(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")))
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	h.length = h.length || bytes.EqualFold(name, []byte("Content-Length"))
	h.chunked = h.chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
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
	h.status = status
	return nil
}

// check checks a head whose lines are all added.
func (h *head) check() error {
	switch {
	case h.status == 0:
		return errStatusLine
	case h.isInterim() && (h.length || h.chunked):
		return errInterim
	default:
		return nil
	}
}

// isInterim reports whether another answer follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

// isBlank reports whether a line is the empty one at the end of a head.
func isBlank(line []byte) bool {
	return line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}
