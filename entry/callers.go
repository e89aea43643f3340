package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/trace"
)

// publicMux routes what callers, targets and the balancer ask.
func (n *Node) publicMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/chat/completions"), n.handleModel)
	mux.HandleFunc(pat.Post("/v1/completions"), n.handleModel)
	mux.HandleFunc(pat.Get("/v1/models"), n.handleModels)
	mux.HandleFunc(pat.New("/services/:service/*"), n.handlePlain)
	mux.HandleFunc(pat.Post(annc.Path), n.handleAnnounce)
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	mux.HandleFunc(pat.New("/*"), n.handleElse)
	return mux
}

// targetMux routes what targets and the balancer before them ask, on an address
// of their own.
func (n *Node) targetMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(annc.Path), n.handleAnnounce)
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	mux.HandleFunc(pat.New("/*"), n.handleElse)
	return mux
}

// handleElse answers requests that no other handler takes.
func (n *Node) handleElse(w http.ResponseWriter, r *http.Request) {
	id := n.newRequestID()
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions", annc.Path:
		w.Header().Set("Allow", http.MethodPost)
	case "/v1/models", "/readyz", "/healthz":
		w.Header().Set("Allow", "GET, HEAD")
	default:
		n.refuse(w, id, codes.New(codes.UnknownService, "nothing is served at %s", r.URL.Path))
		return
	}
	n.refuse(w, id, codes.New(codes.MethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method))
}

func (n *Node) newRequestID() sardine.RequestID {
	return trace.ID(n.id, n.incarnation, n.requests.Add(1))
}

// beginTrace gives a request its id and records its arrival.
func (n *Node) beginTrace() *trace.Record {
	number := n.requests.Add(1)
	return n.traces.Begin(number, trace.ID(n.id, n.incarnation, number), n.clock.Now())
}

// refuseTraced answers a request that was not run and records why.
func (n *Node) refuseTraced(w http.ResponseWriter, k *trace.Record, err error) {
	n.endTrace(k, err, sardine.RanNo, 0)
	n.refuse(w, k.ID(), err)
}

// endTrace records how a request ended; err is nil if it was answered.
func (n *Node) endTrace(k *trace.Record, err error, ran sardine.Ran, tokens int) {
	k.Ended(n.clock.Now(), trace.End{Code: codes.Of(err), Ran: ran, Tokens: tokens, Left: errors.Is(err, context.Canceled)})
}

// extendRead gives the caller the read timeout for its body.
func (n *Node) extendRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(n.timing.Read.Duration())) // unsupported in tests' recorders
}

// callerContext ends with the caller's own context, and with the cause
// errDrained when the drain time is over.
func (n *Node) callerContext(parent context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(n.drained, func() { cancel(errDrained) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// startDeadline cancels the request when its deadline passes. Stop the returned
// timer once the answer has begun.
func (n *Node) startDeadline(q *request, cancel context.CancelCauseFunc) *time.Timer {
	if q.deadline == 0 {
		return time.AfterFunc(time.Duration(1<<62), func() {})
	}
	left := q.arrived + q.deadline - n.clock.Now()
	return time.AfterFunc(left.Duration(), func() { cancel(errDeadline) })
}

// enter admits a request: its workspace, service, limits, and its turn. The
// ticket goes back by leave. An error means that the request was not run.
func (n *Node) enter(ctx context.Context, q *request) (serviceKey, admit.Ticket, error) {
	v := n.view()
	t, d, err := v.admit(q)
	if lapsed := n.mayServeUnder(v.cuts[t.team]); lapsed != nil {
		err = lapsed // what the view says may be outdated
	}
	if err != nil {
		return serviceKey{}, 0, n.refuseKey(q, err)
	}
	q.cut = v.cuts[t.team]
	q.trace.Named(t.tenant.Name, d.Name) // not the caller's own strings, which may be long
	key := serviceKey{t.team, d.Name}
	if len(v.candidates[key]) == 0 {
		err := codes.New(codes.NoTarget, "no target serves %q now", d.Name)
		return serviceKey{}, 0, &refusal{cause: err, retryAfter: noTargetRetry}
	}
	cost := float64(q.tokens + q.maxTokens)
	if err := n.takeLimit(q.workspace, cost); err != nil {
		return serviceKey{}, 0, err
	}
	offer := admit.Request{
		Service:   key.routed(),
		Workspace: q.workspace,
		Priority:  q.priority,
		Cost:      max(cost, 1),
	}
	if q.deadline > 0 {
		offer.Deadline = q.arrived + q.deadline
	}
	ticket, err := n.gate.enter(ctx, offer)
	q.trace.Waited(n.clock.Now() - q.arrived)
	n.meter.admitted(err)
	n.meter.waited(n.clock.Now() - q.arrived)
	return key, ticket, err
}

// refuseKey counts a refusal that is due to a caller's token.
func (n *Node) refuseKey(q *request, err error) error {
	if codes.Is(err, codes.KeyRefused) {
		return n.access.Refuse(q.source, err)
	}
	return err
}

// noTargetRetry is when a caller should come back after no target was there: a
// group that lost a member needs about this long to be whole again.
const noTargetRetry = 2 * sardine.Second

func (n *Node) leave(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) {
	if o == admit.Answered && firstToken == 0 {
		o = admit.Abandoned
	}
	if err := n.gate.leave(t, firstToken, o); err != nil {
		n.broken(err)
	}
}

// refuse answers a request that was not run.
func (n *Node) refuse(w http.ResponseWriter, id sardine.RequestID, err error) {
	event.Log(n.log, event.RequestRefused, requestAttr(id), codeAttr(err))
	n.meter.refused(err)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.timing.Write.Duration())) // unsupported in tests' recorders
	if closesConnection(err) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	n.callers.Refuse(w, refusalTo(err, id, sardine.RanNo))
}

func closesConnection(err error) bool {
	return codes.Is(err, codes.TooLarge) || codes.Is(err, codes.SlowRequest)
}

// refusalTo is an answer of the system's own, with the time to come back.
func refusalTo(err error, id sardine.RequestID, ran sardine.Ran) sardine.Refusal {
	out := sardine.Refusal{Request: id, Cause: err, Ran: ran}
	var r *refusal
	switch {
	case errors.As(err, &r):
		out.RetryAfter = r.retryAfter
	case codes.Of(err).Status() == http.StatusServiceUnavailable:
		out.RetryAfter = sardine.Second
	}
	return out
}
