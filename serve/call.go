package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/reply"
)

// Call is one dispatch of a request to one target.
type Call struct {
	Request    sardine.RequestID
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Address    string // host:port of the target
	Group      sardine.GroupID
	Epoch      sardine.Epoch
	Priority   sardine.Priority
	ResumeFrom int // first token wanted, 0 starts the request
}

// Failure is a dispatch that brought no answer, with what is known of its run.
type Failure struct {
	ran   sardine.Ran
	cause error
}

// Error returns the cause.
func (f *Failure) Error() string {
	return f.cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.cause
}

// Ran tells whether the target ran the request.
func (f *Failure) Ran() sardine.Ran {
	return f.ran
}

// NewFailure returns a failure with its cause.
func NewFailure(ran sardine.Ran, cause error) *Failure {
	return &Failure{ran: ran, cause: cause}
}

func failure(ran sardine.Ran, code codes.Code, format string, args ...any) *Failure {
	return &Failure{ran: ran, cause: codes.New(code, format, args...)}
}

// Client dispatches calls.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client over the transport. The transport must neither
// follow redirects nor use a proxy.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// Open sends the call and returns the answer's head. The caller closes its
// body. Without an answer the Failure tells whether the target ran the request.
//
// The request goes to http.RoundTripper directly: http.Client would follow
// redirects, which runs a request twice. The header Idempotency-Key is never
// passed on, because net/http repeats by itself what carries it.
func (c *Client) Open(ctx context.Context, call Call) (*http.Response, *Failure) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, &Failure{ran: sardine.RanNo, cause: codes.Wrap(codes.BadRequest, err, "request can't be passed on")}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, openFailure(err, connected.Load(), call)
	}
	if refused := refusal(resp, call); refused != nil {
		resp.Body.Close()
		return nil, refused
	}
	return resp, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bodyReader(call.Body))
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, call.Header)
	req.Header.Del(reply.HeaderKey)
	req.Header.Set(reply.HeaderRequest, string(call.Request))
	if call.Group != "" {
		req.Header.Set(order.HeaderGroup, string(call.Group))
		req.Header.Set(order.HeaderEpoch, strconv.FormatUint(uint64(call.Epoch), 10))
		req.Header.Set(reply.HeaderPriority, call.Priority.String())
	}
	if call.ResumeFrom > 0 {
		req.Header.Set(order.HeaderResume, strconv.Itoa(call.ResumeFrom))
	}
	return req, nil
}

func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}

// openFailure classifies a transport error. Before a connection was had nothing
// can have left this process; from then on the target may have the request.
func openFailure(err error, connected bool, call Call) *Failure {
	if !connected {
		return failure(sardine.RanNo, codes.NoTarget, "target %s can't be reached: %v", call.Address, err)
	}
	return failure(sardine.RanUnknown, codes.TargetFailed, "target %s failed before its answer: %v", call.Address, err)
}

// refusal recognises an answer by which the target says that it did not start
// the request.
func refusal(resp *http.Response, call Call) *Failure {
	if resp.Header.Get(reply.HeaderRan) != sardine.RanNo.String() || resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	code := codes.NoTarget
	if resp.StatusCode == http.StatusConflict {
		code = codes.EpochRefused
	}
	return failure(sardine.RanNo, code, "target %s did not start the request: %s", call.Address, resp.Status)
}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders of callers' requests are meant for this system.
var ownHeaders = []string{
	"Authorization", "Content-Length", reply.HeaderWorkspace, reply.HeaderDeadline, reply.HeaderPriority,
	order.HeaderEpoch, order.HeaderGroup, reply.HeaderRequest, order.HeaderResume, reply.HeaderRan,
}

// EndToEnd returns a copy of a header without the fields that concern one
// connection and the length, which whoever writes the message sets.
func EndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	copyEndToEnd(to, from)
	to.Del("Content-Length")
	return to
}

func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, named := range from.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	copyEndToEnd(to, from)
	for _, name := range ownHeaders {
		to.Del(name)
	}
}

// PassedHeader returns the header of a target's answer without what concerns
// one connection or this system.
func PassedHeader(from http.Header) http.Header {
	passed := make(http.Header, len(from))
	copyHeader(passed, from)
	passed.Del(annc.HeaderLoad)
	return passed
}
