package entry

import (
	"crypto/sha256"
	"encoding/json"
	"io"
	"mime"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/trace"
)

// bytesPerToken is a rough estimate for text.
const bytesPerToken = 4

// request is one caller's request, completely read and validated.
type request struct {
	id            sardine.RequestID
	trace         *trace.Record
	workspace     sardine.Workspace
	token         string
	source        string // IP address of the caller or of the load balancer in front of this node
	service       sardine.ServiceName
	method        string
	path          string // at the target, including the query
	header        http.Header
	body          []byte
	priority      sardine.Priority
	deadline      sardine.Millis // from arrival to the first byte of the answer, 0 for none
	arrived       sardine.Millis
	key           string // idempotency key, empty for none
	stream        bool
	deterministic bool // any engine with the same model version produces the same output
	tokens        int  // estimated tokens of the prompt
	maxTokens     int  // limit set by the caller, 0 if none
	prefixes      []uint64
	conversation  uint64            // hash of the start of the conversation, 0 for none
	continued     bool              // the conversation contains earlier answers
	fingerprint   []byte            // of the caller's request, compared when an idempotency key is reused
	poison        guard.Fingerprint // fingerprint of what the target runs
	cutPolicy     sardine.CutPolicy // of its team
}

// modelJSON is the part of a completion request that routing needs. The body is
// forwarded unchanged.
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

// bodyFunc reads the body of a request.
type bodyFunc func() ([]byte, error)

// noBody leaves the body of a request unread.
func noBody() ([]byte, error) {
	return nil, nil
}

// readCommon reads what all requests have: the body and the headers of the
// caller port.
func readCommon(callers sardine.CallerPort, r *http.Request, readBody bodyFunc) (*request, error) {
	body, err := readBody()
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
		deadline:  c.Timeout,
		key:       c.IdempotencyKey,
	}
	return q, nil
}

// readModel reads a chat or completion request.
func readModel(callers sardine.CallerPort, r *http.Request, readBody bodyFunc) (*request, error) {
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, codes.New(codes.BadRequest, "Content-Type is %q, expected application/json", r.Header.Get("Content-Type"))
	}
	q, err := readCommon(callers, r, readBody)
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
	q.deterministic = m.Seed != nil || (m.Temperature != nil && *m.Temperature == 0)
	if m.MaxTokens != nil {
		q.maxTokens = max(*m.MaxTokens, 0)
	}
	prompt := m.Messages
	if len(prompt) == 0 {
		prompt = m.Prompt
	}
	q.tokens = len(prompt)/bytesPerToken + 1
	q.prefixes = prefixHashes(q.service, prompt)
	q.conversation, q.continued = conversationOf(m.Messages)
	q.setFingerprint()
	q.poison = guard.FingerprintOf(q.body, string(q.service), q.method, q.path)
	return q, nil
}

// setFingerprint hashes what identifies a request: the workspace and what the
// target receives. Headers are left out because they may differ when a caller
// sends the request again.
func (q *request) setFingerprint() {
	h := sha256.New()
	for _, part := range []string{string(q.workspace), string(q.service), q.method, q.path} {
		_, _ = io.WriteString(h, part) // a hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum(nil)
}

// exchange returns the dispatch of the request to a target.
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
