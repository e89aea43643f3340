package sardine

import (
	"context"
	"net/http"
)

// Call is what the system reads of one caller's request. Body and other headers
// pass through unread.
type Call struct {
	ID           RequestID
	Host         string    // without a port
	Path         string    // without the query
	Workspace    Workspace // named by the caller, empty if its key tells
	Key          string    // of the caller's workspace, empty without one
	Priority     Priority  // 0 if not said
	RepeatKey    string    // the same on all resends of one request, empty for none
	Patience     Millis    // how long the caller waits, 0 if not said
	Model        ModelName
	PromptTokens int
	AnswerTokens int    // at most, 0 if not said
	AnswerGuess  int    // the caller's own estimate of them, 0 if not said
	LastEvent    string // the caller goes on after this event, empty for a new stream
}

// writtenWeight is how many tokens of a prompt one token of an answer counts like.
const writtenWeight = 10

// Size returns a measure of the work that a request asks for, in tokens of a prompt.
func (c Call) Size() int {
	return SizeOf(c.PromptTokens, c.Answer())
}

// Answer returns the tokens that the answer is expected to have: by the caller's
// estimate, or the most that it takes.
func (c Call) Answer() int {
	switch {
	case c.AnswerGuess == 0:
		return c.AnswerTokens
	case c.AnswerTokens == 0:
		return c.AnswerGuess
	default:
		return min(c.AnswerGuess, c.AnswerTokens)
	}
}

// SizeOf returns the size of a request with so many tokens to read and to write.
func SizeOf(prompt, answer int) int {
	return prompt + writtenWeight*answer
}

// Dispatch is what the system tells a target about a request that it passes on.
type Dispatch struct {
	Request   RequestID
	Target    VMID
	Group     GroupID // that the target heads, empty for a plain target
	Epoch     Epoch   // of the group
	Workspace Workspace
	Patience  Millis
	LastEvent string // go on after this event, empty to start
	Rank      int    // 0 is the most urgent, negative leaves it out
}

// Reply is what the system reads of the head of a target's answer.
type Reply struct {
	Request RequestID // that it answers, empty if not said
	Ran     Ran       // RanNo if the target says so, RanUnknown otherwise
	Moved   bool      // the target is not, or no longer, the one that was meant
	Invalid string    // why the answer can't be the target's own, empty if it can
	Load    Load
	Loaded  bool // Load is set
}

// Refusal is an answer of the system's own to a caller.
type Refusal struct {
	Request    RequestID // empty if it was not read so far
	Cause      error
	Ran        Ran
	RetryAfter Millis // when the caller should come back, 0 if not said
}

// CallerPort translates callers' requests.
type CallerPort interface {
	// Call reads a request's head. Errors carry codes.BadRequest.
	Call(r *http.Request) (Call, error)
	// Refuse writes an answer of the system's own.
	Refuse(w http.ResponseWriter, r Refusal)
	// ReadyPath is where the platform's balancer asks whether to send callers.
	ReadyPath() string
}

// TargetPort translates what passes between an entry node and targets.
type TargetPort interface {
	// Prepare sets the system's headers of a dispatch.
	Prepare(h http.Header, d Dispatch)
	// Reply reads the head of an answer.
	Reply(status int, h http.Header) Reply
}

// ControlPort translates what operators and targets ask of control nodes.
type ControlPort interface {
	// Handler serves the requests by desk.
	Handler(desk ControlDesk) http.Handler
	LayoutCodec
}

// LayoutCodec reads operators' documents.
type LayoutCodec interface {
	// ParseLayout reads and checks a document. Errors carry codes.BadSettings.
	ParseLayout(document []byte) (Layout, error)
}

// ControlDesk is what a control node does for operators and targets.
type ControlDesk interface {
	// PutLayout returns once the document, or one with a higher number, is
	// durable on a quorum.
	PutLayout(ctx context.Context, document []byte) error
	// Layout returns the newest document, proved by a quorum; nil before the
	// first.
	Layout(ctx context.Context) ([]byte, error)
	// Announce takes a target's word about itself and returns the address to
	// announce to from now on. A target that leaves gets no new work.
	Announce(ctx context.Context, a Announcement) (address string, err error)
	// Leave notes that a target is about to end.
	Leave(ctx context.Context, vm VMID, i Incarnation) error
}
