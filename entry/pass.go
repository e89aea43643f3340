package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// passPath is where a node takes over the requests of one that has lost its links to the
// targets. The method, the body and the end-to-end headers are the caller's.
const passPath = "/sardine/v1/pass"

// Headers of a passed request and of its answer, which only entry nodes see.
const (
	passPrefix = "X-Sardine-Pass-"

	headerPassTarget    = passPrefix + "Target" // request target as the caller sent it
	headerPassHost      = passPrefix + "Host"
	headerPassLeft      = passPrefix + "Left"       // milliseconds until the deadline
	headerPassAge       = passPrefix + "Age"        // milliseconds since the request arrived
	headerPassGranted   = passPrefix + "Granted"    // attempts that it may use
	headerPassCounted   = passPrefix + "Counted"    // set if it was counted as a first request
	headerPassLayout    = passPrefix + "Layout"     // number of the layout that the caller is served by
	headerPassLastEvent = passPrefix + "Last-Event" // event after which a stream is resumed

	headerPassRequest   = passPrefix + "Request"   // id of the request that is answered
	headerPassUsed      = passPrefix + "Used"      // attempts used so far
	headerPassRan       = passPrefix + "Ran"       // of a refusal
	headerPassCode      = passPrefix + "Code"      // result code of a refusal
	headerPassRetry     = passPrefix + "Retry"     // Retry-After of a refusal, in milliseconds
	headerPassElsewhere = passPrefix + "Elsewhere" // set if another node may take the request over
)

// removePassHeaders removes the headers of a pass from a message of a caller or target.
func removePassHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, passPrefix) {
			delete(h, name)
		}
	}
}

// passedRequest is what a node states of a request that it passes to another one.
type passedRequest struct {
	left      sardine.Millis // until the deadline
	age       sardine.Millis // since the request arrived
	granted   int            // attempts that it may use
	counted   bool           // it was counted as a first request
	layout    uint64         // number of the layout that the caller is served by
	lastEvent string         // event after which a stream is resumed, empty for none
}

// write sets the headers of a passed request.
func (p passedRequest) write(h http.Header) {
	h.Set(headerPassLeft, strconv.FormatInt(int64(p.left), 10))
	h.Set(headerPassAge, strconv.FormatInt(int64(p.age), 10))
	h.Set(headerPassGranted, strconv.Itoa(p.granted))
	h.Set(headerPassLayout, strconv.FormatUint(p.layout, 10))
	if p.counted {
		h.Set(headerPassCounted, "1")
	}
	if p.lastEvent != "" {
		h.Set(headerPassLastEvent, p.lastEvent)
	}
}

// readPassed reads the headers of a passed request, and returns the request as the
// caller sent it. Errors carry codes.BadRequest.
func readPassed(r *http.Request) (passedRequest, *http.Request, error) {
	h := r.Header
	p := passedRequest{counted: h.Get(headerPassCounted) != "", lastEvent: h.Get(headerPassLastEvent)}
	left, errLeft := strconv.ParseInt(h.Get(headerPassLeft), 10, 64)
	age, errAge := strconv.ParseInt(h.Get(headerPassAge), 10, 64)
	granted, errGranted := strconv.Atoi(h.Get(headerPassGranted))
	layout, errLayout := strconv.ParseUint(h.Get(headerPassLayout), 10, 64)
	target, errTarget := url.ParseRequestURI(h.Get(headerPassTarget))
	for _, err := range []error{errLeft, errAge, errGranted, errLayout, errTarget} {
		if err != nil {
			return p, nil, codes.Wrap(codes.BadRequest, err, "the headers of a passed request can't be read")
		}
	}
	p.left, p.age, p.granted, p.layout = sardine.Millis(left), max(sardine.Millis(age), 0), max(granted, 1), layout
	original := r.WithContext(r.Context())
	original.Header = h.Clone()
	removePassHeaders(original.Header)
	original.URL, original.RequestURI, original.Host = target, h.Get(headerPassTarget), h.Get(headerPassHost)
	return p, original, nil
}

// passedAnswer is what a node states of its answer to a passed request.
type passedAnswer struct {
	request   sardine.RequestID
	used      int // attempts
	ran       sardine.Ran
	code      codes.Code // of a refusal, codes.OK for a target's answer
	retry     sardine.Millis
	elsewhere bool // another node may take the request over
}

// write sets the headers of an answer to a passed request.
func (a passedAnswer) write(h http.Header) {
	removePassHeaders(h)
	h.Set(headerPassRequest, string(a.request))
	h.Set(headerPassUsed, strconv.Itoa(a.used))
	h.Set(headerPassRan, a.ran.String())
	if a.code == codes.OK {
		return
	}
	h.Set(headerPassCode, strconv.Itoa(int(knownToAll(a.code))))
	h.Set(headerPassRetry, strconv.FormatInt(int64(a.retry), 10))
	if a.elsewhere {
		h.Set(headerPassElsewhere, "1")
	}
}

// knownToAll returns a code that every release with passed requests knows and that means
// the same to callers. An earlier release takes an unknown code for an internal error.
func knownToAll(c codes.Code) codes.Code {
	if c == codes.UploadsFull {
		return codes.QueueFull
	}
	return c
}

// takePassedAnswer reads and removes the headers of an answer to a passed request. What
// is missing or can't be read makes no claim.
func takePassedAnswer(h http.Header) passedAnswer {
	a := passedAnswer{request: sardine.RequestID(h.Get(headerPassRequest)), elsewhere: h.Get(headerPassElsewhere) != ""}
	for _, ran := range []sardine.Ran{sardine.RanNo, sardine.RanYes} {
		if h.Get(headerPassRan) == ran.String() {
			a.ran = ran
		}
	}
	a.used, _ = strconv.Atoi(h.Get(headerPassUsed))
	code, _ := strconv.Atoi(h.Get(headerPassCode))
	retry, _ := strconv.ParseInt(h.Get(headerPassRetry), 10, 64)
	a.code, a.retry = codes.Code(code), sardine.Millis(retry)
	removePassHeaders(h)
	return a
}

// passPort is the protocol between a node and one to which it passes a request. It
// implements sardine.TargetPort.
type passPort struct{}

// Prepare leaves the request as it is: it goes to a node that serves it for the caller.
func (passPort) Prepare(http.Header, sardine.Dispatch) {}

// Reply reads the head of an answer.
func (passPort) Reply(_ int, h http.Header) sardine.Reply {
	r := sardine.Reply{Request: sardine.RequestID(h.Get(headerPassRequest))}
	if h.Get(headerPassElsewhere) != "" {
		r.Ran = sardine.RanNo
	}
	if r.Request == "" {
		r.InvalidReason = "it is not the answer to a passed request"
	}
	return r
}
