package entry

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/trace"
)

// bytesPerWord is the rough size of a token of text.
const bytesPerWord = 4

// request is one caller's request, read whole and checked.
type request struct {
	id          sardine.RequestID
	trace       *trace.Record
	workspace   sardine.Workspace
	token       string
	source      string // IP number of the caller or of the balancer before it
	service     sardine.ServiceName
	method      string
	path        string // at the target, with the query
	header      http.Header
	body        []byte
	priority    sardine.Priority
	deadline    sardine.Millis // from arrival to the first byte of the answer, 0 for none
	arrived     sardine.Millis
	key         string // idempotency key, empty for none
	stream      bool
	exact       bool // an engine of the same model version continues it exactly
	tokens      int  // estimate of the prompt's tokens
	maxTokens   int  // asked for, 0 if not said
	prefixes    []uint64
	talk        uint64            // hash of the conversation's beginning, 0 for none
	later       bool              // the conversation has earlier answers
	fingerprint []byte            // of the caller's request, for its idempotency key
	poison      guard.Fingerprint // of what the target runs
	cut         sardine.CutPolicy // of its team
}

// modelJSON is the part of a completion request that routing needs. All else is
// passed on as it came.
type modelJSON struct {
	Model       string          `json:"model"`
	Stream      bool            `json:"stream"`
	Seed        *int64          `json:"seed"`
	Temperature *float64        `json:"temperature"`
	MaxTokens   *int            `json:"max_tokens"`
	Messages    json.RawMessage `json:"messages"`
	Prompt      json.RawMessage `json:"prompt"`
	N           *int            `json:"n"`
}

// readCommon reads what every request has: its body and the system's headers.
func readCommon(callers sardine.CallerPort, r *http.Request, limit int64) (*request, error) {
	body, err := readBody(r, limit)
	if err != nil {
		return nil, err
	}
	c, err := callers.Call(r)
	if err != nil {
		return nil, err
	}
	q := &request{
		method:    r.Method,
		header:    r.Header,
		body:      body,
		source:    oper.SourceOf(r),
		workspace: c.Workspace,
		token:     c.Key,
		priority:  c.Priority,
		deadline:  c.Patience,
		key:       c.RepeatKey,
	}
	return q, nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, codes.New(codes.TooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, codes.New(codes.SlowRequest, "the body stopped after %d bytes", len(body))
	}
	if err != nil {
		return nil, codes.New(codes.BadRequest, "the body ended after %d bytes: %v", len(body), err)
	}
	if int64(len(body)) > limit {
		return nil, codes.New(codes.TooLarge, "the body has more than %d bytes", limit)
	}
	return body, nil
}

// readModel reads a chat or completion request.
func readModel(callers sardine.CallerPort, r *http.Request, limit int64) (*request, error) {
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, codes.New(codes.BadRequest, "Content-Type is %q, expected application/json", r.Header.Get("Content-Type"))
	}
	q, err := readCommon(callers, r, limit)
	if err != nil {
		return nil, err
	}
	var m modelJSON
	if err := json.Unmarshal(q.body, &m); err != nil {
		return nil, codes.New(codes.BadRequest, "the body is not the expected JSON: %v", err)
	}
	if m.Model == "" {
		return nil, codes.New(codes.BadRequest, "the field model is missing")
	}
	if len(m.Messages) == 0 && len(m.Prompt) == 0 {
		return nil, codes.New(codes.BadRequest, "the field messages or prompt is missing")
	}
	if m.N != nil && *m.N != 1 {
		return nil, codes.New(codes.BadRequest, "the field n is %d, only 1 is served", *m.N)
	}
	q.service = sardine.ServiceName(m.Model)
	q.path = r.URL.Path
	q.stream = m.Stream
	q.exact = m.Seed != nil || (m.Temperature != nil && *m.Temperature == 0)
	if m.MaxTokens != nil {
		q.maxTokens = max(*m.MaxTokens, 0)
	}
	prompt := m.Messages
	if len(prompt) == 0 {
		prompt = m.Prompt
	}
	q.tokens = len(prompt)/bytesPerWord + 1
	q.prefixes = prefixHashes(q.service, prompt)
	q.talk, q.later = conversationOf(m.Messages)
	q.setFingerprint()
	q.poison = guard.Of(q.body, string(q.service), q.method, q.path)
	return q, nil
}

// setFingerprint hashes what makes two requests the same: their workspace and
// what the target gets. Headers stay out, a resend may differ in them.
func (q *request) setFingerprint() {
	h := sha256.New()
	for _, part := range []string{string(q.workspace), string(q.service), q.method, q.path} {
		_, _ = io.WriteString(h, part) // a hash takes every write
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum(nil)
}

// exchange is the request's dispatch to a target.
func (q *request) exchange(c route.Candidate) proxy.Exchange {
	return proxy.Exchange{
		Address: c.Address,
		Request: pool.Request{Method: q.method, Path: q.path, Host: c.Address, Header: q.header, Body: q.body},
		Dispatch: sardine.Dispatch{
			Request: q.id,
			Target:  c.Head,
			Group:   c.Group,
			Epoch:   c.Epoch,
		},
	}
}
