// Package reply writes the system's own responses to callers and operators:
// problem details in JSON (RFC 9457) with the result code and whether the
// request ran.
package reply

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Headers of requests and responses.
const (
	HeaderRan            = "X-Sardine-Ran"         // no, yes or unknown
	HeaderRequest        = "X-Sardine-Request"     // request id, on every response
	HeaderWorkspace      = "X-Sardine-Workspace"   // the caller's workspace
	HeaderPriority       = "X-Sardine-Priority"    // live, normal or batch
	HeaderDeadline       = "X-Sardine-Deadline-Ms" // milliseconds that the caller waits for the first byte of the response
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemType is the media type of a problem.
const ProblemType = "application/problem+json"

// Problem is an error response.
type Problem struct {
	code       codes.Code
	detail     string
	ran        sardine.Ran
	request    sardine.RequestID
	retryAfter sardine.Millis
}

// Option sets a property of a Problem.
type Option func(*Problem)

// WithRan sets whether the request ran. The default is RanUnknown.
func WithRan(r sardine.Ran) Option {
	return func(p *Problem) { p.ran = r }
}

// WithRequest sets the request's id.
func WithRequest(id sardine.RequestID) Option {
	return func(p *Problem) { p.request = id }
}

// WithRetryAfter sets the time after which the caller may retry.
func WithRetryAfter(d sardine.Millis) Option {
	return func(p *Problem) { p.retryAfter = d }
}

// NewProblem returns a problem for err, whose result code determines the HTTP
// status.
func NewProblem(err error, options ...Option) *Problem {
	p := &Problem{code: codes.Of(err), detail: err.Error()}
	var coded *codes.Error
	if errors.As(err, &coded) {
		p.detail = coded.Message()
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Code returns the result code.
func (p *Problem) Code() codes.Code {
	return p.code
}

// Ran reports whether the request ran.
func (p *Problem) Ran() sardine.Ran {
	return p.ran
}

type problemJSON struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Ran     string `json:"ran"`
	Request string `json:"request,omitempty"`
	Remedy  string `json:"remedy"`
}

// JSON returns the problem's JSON body.
func (p *Problem) JSON() []byte {
	row := p.code.Row()
	body, err := json.Marshal(problemJSON{
		Type:    "urn:sardineswitch:code:" + strconv.Itoa(int(p.code)),
		Title:   row.Meaning,
		Status:  row.Status,
		Detail:  p.detail,
		Code:    int(p.code),
		Name:    row.Name,
		Ran:     p.ran.String(),
		Request: string(p.request),
		Remedy:  row.Remedy,
	})
	if err != nil { // strings and numbers always marshal
		return []byte("{}")
	}
	return body
}

// Write sends the problem as the whole response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(HeaderRan, p.ran.String())
	h.Set("Cache-Control", "no-store")
	if p.request != "" {
		h.Set(HeaderRequest, string(p.request))
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((p.retryAfter+sardine.Second-1)/sardine.Second), 10))
	}
	body := append(p.JSON(), '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.code.Status())
	_, _ = w.Write(body) // if the caller has disconnected, there is nobody to report the error to
}

// WriteJSON sends v as the whole response with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		NewProblem(codes.Wrap(codes.Internal, err, "response can't be encoded")).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the caller may have disconnected
}
