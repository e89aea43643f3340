package reply

import (
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Limits of the values in callers' headers.
const (
	maxTimeout  = 600 * sardine.Second
	maxKeyBytes = 255
)

// CallerPort implements sardine.CallerPort for the system's own interface.
type CallerPort struct{}

// NewCallerPort returns the port for callers.
func NewCallerPort() CallerPort {
	return CallerPort{}
}

// Call parses the system's headers of a request. The name of the requested model,
// if any, is in the body and not read here. Errors carry codes.BadRequest.
func (CallerPort) Call(r *http.Request) (sardine.Call, error) {
	c := sardine.Call{
		Host:           r.Host,
		Path:           r.URL.Path,
		Workspace:      sardine.Workspace(r.Header.Get(HeaderWorkspace)),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if c.Workspace == "" {
		return c, codes.New(codes.BadRequest, "header %s is missing, it names the caller's workspace", HeaderWorkspace)
	}
	if len(c.IdempotencyKey) > maxKeyBytes {
		return c, codes.New(codes.BadRequest, "header %s has %d bytes, expected at most %d", HeaderIdempotencyKey, len(c.IdempotencyKey), maxKeyBytes)
	}
	if !utf8.ValidString(c.IdempotencyKey) || !utf8.ValidString(string(c.Workspace)) {
		return c, codes.New(codes.BadRequest, "headers %s and %s must be valid UTF-8", HeaderWorkspace, HeaderIdempotencyKey)
	}
	var err error
	if c.Key, err = bearerToken(r.Header.Get("Authorization")); err != nil {
		return c, err
	}
	if c.Priority, err = parsePriority(r.Header.Get(HeaderPriority)); err != nil {
		return c, err
	}
	c.Timeout, err = parseTimeout(r.Header.Get(HeaderDeadline))
	return c, err
}

func bearerToken(header string) (string, error) {
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

func parseTimeout(text string) (sardine.Millis, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || sardine.Millis(n) > maxTimeout {
		return 0, codes.New(codes.BadRequest, "header %s is %q, expected milliseconds from 1 to %d", HeaderDeadline, text, maxTimeout)
	}
	return sardine.Millis(n), nil
}

// Refuse writes an error response of the system itself.
func (CallerPort) Refuse(w http.ResponseWriter, r sardine.Refusal) {
	ProblemOf(r).Write(w)
}

// ReadyPath returns the path of the load balancer's readiness check.
func (CallerPort) ReadyPath() string {
	return "/readyz"
}

// ProblemOf returns the problem that describes a refusal.
func ProblemOf(r sardine.Refusal) *Problem {
	return NewProblem(r.Cause, WithRan(r.Ran), WithRequest(r.Request), WithRetryAfter(r.RetryAfter))
}
