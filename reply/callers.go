package reply

import (
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Bounds of what a caller may ask for.
const (
	maxDeadline = 600 * sardine.Second
	maxKeyBytes = 255
)

// Callers implements sardine.CallerPort for the product's own interface.
type Callers struct{}

// NewCallers returns the port to callers.
func NewCallers() Callers {
	return Callers{}
}

// Call reads the system's headers of a request. Its model, if it asks for one,
// stands in its body.
func (Callers) Call(r *http.Request) (sardine.Call, error) {
	c := sardine.Call{
		Host:      r.Host,
		Path:      r.URL.Path,
		Workspace: sardine.Workspace(r.Header.Get(HeaderWorkspace)),
		RepeatKey: r.Header.Get(HeaderKey),
	}
	if c.Workspace == "" {
		return c, codes.New(codes.BadRequest, "header %s is missing, it names the caller's workspace", HeaderWorkspace)
	}
	if len(c.RepeatKey) > maxKeyBytes {
		return c, codes.New(codes.BadRequest, "header %s has %d bytes, at most %d are taken", HeaderKey, len(c.RepeatKey), maxKeyBytes)
	}
	if !utf8.ValidString(c.RepeatKey) || !utf8.ValidString(string(c.Workspace)) {
		return c, codes.New(codes.BadRequest, "headers %s and %s must be valid UTF-8", HeaderWorkspace, HeaderKey)
	}
	var err error
	if c.Key, err = bearer(r.Header.Get("Authorization")); err != nil {
		return c, err
	}
	if c.Priority, err = parsePriority(r.Header.Get(HeaderPriority)); err != nil {
		return c, err
	}
	c.Patience, err = parseDeadline(r.Header.Get(HeaderDeadline))
	return c, err
}

func bearer(header string) (string, error) {
	if header == "" {
		return "", nil
	}
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "bearer") {
		return "", codes.New(codes.BadRequest, "header Authorization is not of the form: Bearer TOKEN")
	}
	return strings.TrimSpace(token), nil
}

func parsePriority(text string) (sardine.Priority, error) {
	switch text {
	case "", "normal":
		return sardine.PriorityNormal, nil
	case "live":
		return sardine.PriorityLive, nil
	case "batch":
		return sardine.PriorityBatch, nil
	default:
		return 0, codes.New(codes.BadRequest, "header %s is %q, expected live, normal or batch", HeaderPriority, text)
	}
}

func parseDeadline(text string) (sardine.Millis, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || sardine.Millis(n) > maxDeadline {
		return 0, codes.New(codes.BadRequest, "header %s is %q, expected milliseconds from 1 to %d", HeaderDeadline, text, maxDeadline)
	}
	return sardine.Millis(n), nil
}

// Refuse writes an answer of the system's own.
func (Callers) Refuse(w http.ResponseWriter, r sardine.Refusal) {
	ProblemOf(r).Write(w)
}

// ReadyPath is where the balancer asks.
func (Callers) ReadyPath() string {
	return "/readyz"
}

// ProblemOf describes a refusal.
func ProblemOf(r sardine.Refusal) *Problem {
	return NewProblem(r.Cause, WithRan(r.Ran), WithRequest(r.Request), WithRetryAfter(r.RetryAfter))
}
