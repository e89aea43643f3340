package sardine

import (
	"context"
	"net/http"
)

// Call holds the properties of a caller's request that the system uses. The body
// and other headers are forwarded without interpretation.
type Call struct {
	ID             RequestID
	Host           string    // without a port
	Path           string    // without the query
	Workspace      Workspace // workspace named by the caller, empty if Key determines it
	Key            string    // API key of the caller's workspace, empty if not given
	Priority       Priority  // 0 if not given
	IdempotencyKey string    // idempotency key, empty if not given
	Timeout        Millis    // time that the caller waits for the answer, 0 if not given
	Model          ModelName
	PromptTokens   int
	AnswerTokens   int    // maximum length of the answer, 0 if not given
	AnswerEstimate int    // caller's estimate of the length of the answer, 0 if not given
	LastEvent      string // event after which a stream is resumed, empty for a new stream
	// Segments holds the segments of the prompt that other requests may share, in
	// order. The last segment of a prompt belongs to the request alone.
	Segments []SegmentID
}

// answerTokenWeight is the cost of an answer token in prompt tokens.
const answerTokenWeight = 10

// Size returns the estimated work of a request, in prompt tokens.
func (c Call) Size() int {
	return SizeOf(c.PromptTokens, c.ExpectedAnswer())
}

// ExpectedAnswer returns the expected number of answer tokens: the caller's estimate,
// limited by the maximum, or the maximum if there is no estimate.
func (c Call) ExpectedAnswer() int {
	switch {
	case c.AnswerEstimate == 0:
		return c.AnswerTokens
	case c.AnswerTokens == 0:
		return c.AnswerEstimate
	default:
		return min(c.AnswerEstimate, c.AnswerTokens)
	}
}

// SizeOf returns the size of a request with the given numbers of prompt and
// answer tokens.
func SizeOf(prompt, answer int) int {
	return prompt + answerTokenWeight*answer
}

// Dispatch holds the metadata that a target gets with a forwarded request.
type Dispatch struct {
	Request   RequestID
	Target    VMID
	Group     GroupID // group whose rank 0 the target is, empty for a plain target
	Epoch     Epoch   // of the group
	Workspace Workspace
	Timeout   Millis // time that is left until the caller's deadline
	LastEvent string // event after which a stream is resumed, empty for a new stream
	Rank      int    // priority rank, 0 is the most urgent; negative to send none
}

// Reply holds the properties of a target's response head that the system uses.
type Reply struct {
	Request       RequestID // request that it answers, empty if not given
	Ran           Ran       // RanNo if the target reports so, RanUnknown otherwise
	Misdirected   bool      // the receiver is not, or no longer, the intended target
	InvalidReason string    // reason why the target can't have sent this response, empty if valid
	Load          Load
	HasLoad       bool    // Load is set
	Limit         float64 // requests per second that the target takes from all entry nodes together
	HasLimit      bool    // Limit is set
	InvalidLimit  string  // reason why the stated limit is ignored, empty if it is valid or not given
}

// Refusal is an error response of the system to a caller.
type Refusal struct {
	Request    RequestID // empty if the request failed before its ID was read
	Cause      error
	Ran        Ran
	RetryAfter Millis // delay after which the caller may retry, 0 if not given
}

// CallerPort is the protocol adapter between callers and entry nodes.
type CallerPort interface {
	// Call reads a request's head. Errors carry codes.BadRequest.
	Call(r *http.Request) (Call, error)
	// Refuse writes an error response.
	Refuse(w http.ResponseWriter, r Refusal)
	// ReadyPath returns the path of the load balancer's readiness check.
	ReadyPath() string
}

// TargetPort is the protocol adapter between entry nodes and targets.
type TargetPort interface {
	// Prepare sets the headers of a dispatch.
	Prepare(h http.Header, d Dispatch)
	// Reply reads the head of a target's response.
	Reply(status int, h http.Header) Reply
}

// ControlPort is the protocol adapter between operators or targets and control
// nodes.
type ControlPort interface {
	// Handler returns the HTTP handler, which serves requests with the backend and reads
	// their bodies with the reader.
	Handler(backend ControlBackend, bodies BodyReader) http.Handler
	LayoutCodec
}

// BodyReader reads request bodies into the memory that the process has for them.
type BodyReader interface {
	// ReadBody returns the whole body, which may have limit bytes. The caller calls
	// release when it needs the bytes no longer, unless there is an error. Errors carry
	// codes.TooLarge, codes.UploadsFull, codes.SlowRequest or codes.BadRequest; the
	// response then closes the connection.
	ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error)
}

// LayoutCodec parses operators' layout documents.
type LayoutCodec interface {
	// ParseLayout parses and checks a document. Errors carry codes.BadSettings.
	ParseLayout(document []byte) (Layout, error)
}

// ControlBackend is the backend of a ControlPort: the operations that a control
// node offers to operators and targets.
type ControlBackend interface {
	// PutLayout stores a document. It returns once the document, or one with a
	// higher number, is durable on a quorum.
	PutLayout(ctx context.Context, document []byte) error
	// Layout returns the newest document, confirmed by a quorum; nil if there is
	// none.
	Layout(ctx context.Context) ([]byte, error)
	// Announce processes a target's announcement and returns the address for its
	// next ones. A target that leaves gets no new work.
	Announce(ctx context.Context, a Announcement) (address string, err error)
	// Leave records that a target is about to exit.
	Leave(ctx context.Context, vm VMID, i Incarnation) error
}
