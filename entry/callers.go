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

// publicMux serves callers, targets and the load balancer.
func (n *Node) publicMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/chat/completions"), n.handleModel)
	mux.HandleFunc(pat.Post("/v1/completions"), n.handleModel)
	mux.HandleFunc(pat.Get("/v1/models"), n.handleModels)
	mux.HandleFunc(pat.New("/services/:service/*"), n.handlePlain)
	mux.HandleFunc(pat.Post(annc.Path), n.handleAnnounce)
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	mux.HandleFunc(pat.New("/*"), n.handleUnmatched)
	return mux
}

// targetMux serves targets and the load balancer in front of this node, on a
// separate address.
func (n *Node) targetMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(annc.Path), n.handleAnnounce)
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	mux.HandleFunc(pat.New("/*"), n.handleUnmatched)
	return mux
}

// handleUnmatched answers requests that match no other handler.
func (n *Node) handleUnmatched(w http.ResponseWriter, r *http.Request) {
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

// beginTrace assigns a request its id and records its arrival.
func (n *Node) beginTrace() *trace.Record {
	number := n.requests.Add(1)
	return n.traces.Begin(number, trace.ID(n.id, n.incarnation, number), n.clock.Now())
}

// refuseTraced records why a request is refused and sends the refusal.
func (n *Node) refuseTraced(w http.ResponseWriter, k *trace.Record, err error) {
	n.endTrace(k, err, sardine.RanNo, 0)
	n.refuse(w, k.ID(), err)
}

// endTrace records how a request ended; err is nil if it was answered.
func (n *Node) endTrace(k *trace.Record, err error, ran sardine.Ran, tokens int) {
	k.Finish(n.clock.Now(), trace.Outcome{Code: codes.Of(err), Ran: ran, Tokens: tokens, CallerLeft: errors.Is(err, context.Canceled)})
}

// limitRead limits the time until a request's body is read. The returned function ends
// that once it is: net/http goes on reading to notice a caller that disconnects, and
// would take a timeout for that. A request that was not read is refused within the limit.
func (n *Node) limitRead(w http.ResponseWriter) (unlimit func()) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{}) // of the connection's previous request; httptest recorders have no deadlines
	_ = control.SetReadDeadline(time.Now().Add(n.timing.Read.Duration()))
	return func() { _ = control.SetReadDeadline(time.Time{}) }
}

// callerContext returns a context that is canceled with parent, or with the
// cause errDrained when the drain time has passed.
func (n *Node) callerContext(parent context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(n.drainCtx, func() { cancel(errDrained) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// startDeadline cancels the request when its deadline passes. Stop the returned
// timer when the answer has started.
func (n *Node) startDeadline(q *request, cancel context.CancelCauseFunc) *time.Timer {
	if q.deadline == 0 {
		return time.AfterFunc(time.Duration(1<<62), func() {})
	}
	left := q.arrived + q.deadline - n.clock.Now()
	return time.AfterFunc(left.Duration(), func() { cancel(errDeadline) })
}

// enter admits a request: it checks its workspace, service and limits, and
// waits in the admission queue. The ticket is released by releaseTicket. After
// an error the request has not run.
func (n *Node) enter(ctx context.Context, q *request) (serviceKey, admit.Ticket, error) {
	v := n.view()
	t, d, err := v.admit(q)
	if lapsed := n.mayServeUnder(v.cutPolicies[t.team]); lapsed != nil {
		err = lapsed // the view may be outdated without a lease
	}
	if err != nil {
		return serviceKey{}, 0, n.refuseKey(q, err)
	}
	q.cutPolicy = v.cutPolicies[t.team]
	q.trace.SetService(t.tenant.Name, d.Name) // the configured names; the caller's own strings may be long
	key := serviceKey{t.team, d.Name}
	if len(v.candidates[key]) == 0 {
		err := codes.New(codes.NoTarget, "no target serves %q now", d.Name)
		return serviceKey{}, 0, &refusal{cause: err, retryAfter: noTargetRetry}
	}
	n.gate.countDemand(key.routeName())
	cost := float64(q.tokens + q.maxTokens)
	if err := n.takeLimit(q.workspace, cost); err != nil {
		return serviceKey{}, 0, err
	}
	offer := admit.Request{
		Service:   key.routeName(),
		Workspace: q.workspace,
		Priority:  q.priority,
		Cost:      max(cost, 1),
	}
	if q.deadline > 0 {
		offer.Deadline = q.arrived + q.deadline
	}
	ticket, err := n.gate.enter(ctx, offer)
	q.trace.SetQueueTime(n.clock.Now() - q.arrived)
	n.meter.admitted(err)
	n.meter.waited(n.clock.Now() - q.arrived)
	return key, ticket, err
}

// refuseKey counts a failed authentication of a caller.
func (n *Node) refuseKey(q *request, err error) error {
	if codes.Is(err, codes.KeyRefused) {
		return n.access.Refuse(q.source, err)
	}
	return err
}

// noTargetRetry is the Retry-After of a request for which there was no target.
// A group that lost a member needs about this long to be complete again.
const noTargetRetry = 2 * sardine.Second

func (n *Node) releaseTicket(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) {
	if o == admit.Answered && firstToken == 0 {
		o = admit.Abandoned
	}
	if err := n.gate.releaseTicket(t, firstToken, o); err != nil {
		n.recordViolation(err)
	}
}

// refuse sends the error for a request that has not run.
func (n *Node) refuse(w http.ResponseWriter, id sardine.RequestID, err error) {
	event.Log(n.log, event.RequestRefused, requestAttr(id), codeAttr(err))
	n.meter.refused(err)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.timing.Write.Duration())) // httptest recorders have no deadlines
	if closesConnection(err) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	n.callers.Refuse(w, refusalTo(err, id, sardine.RanNo))
}

func closesConnection(err error) bool {
	return codes.Is(err, codes.TooLarge) || codes.Is(err, codes.HeaderTooLarge) || codes.Is(err, codes.SlowRequest) || codes.Is(err, codes.UploadsFull)
}

// refusalTo returns the error response of this node, with its Retry-After.
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
