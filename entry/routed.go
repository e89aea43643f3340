package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/detour"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/upload"
	"sardineswitch.dev/sardine/vital"
)

// routedRun is one caller's request that a route of the layout sends to a
// service, across all its attempts.
type routedRun struct {
	node     *Node
	call     sardine.Call
	route    *sardine.Route
	name     sardine.ServiceName // service in the layout
	service  serviceKey          // key of the deployment
	tenant   *sardine.KeyTenant  // nil for a caller without a workspace
	request  pool.Request
	upload   *upload.Body // nil until the body is read
	losses   losses
	arrived  sardine.Millis
	waited   sardine.Millis // estimate of how long the caller waited before this request arrived
	deadline sardine.Millis // when the caller or the route times out
	w        http.ResponseWriter

	// isCounted is set once the request is counted as a first one, here or at the node
	// that has passed it to this one.
	isCounted      bool
	passed         *passedRequest // what that node states, nil for a caller's request
	attemptsBefore int            // attempts that the node may not use, since that node has
	hop            detour.Route   // where the next attempt goes
	peersTried     []sardine.NodeID
	refusedByPeer  bool // another entry node has refused it, and no further one may be asked

	attempts int
	counted  bool // the current attempt is included in attempts
	probing  bool // the next attempt finds out whether a segment makes targets fail
	// attemptEvents counts the events of the answer in the current attempt.
	attemptEvents int
	ran           sardine.Ran // over all attempts
	unsent        int         // attempts that failed before anything was sent
	// retryDenied records that the retry limit prevented another attempt.
	retryDenied  bool
	retryTaken   bool // the retry limit has granted the next attempt already
	tried        []route.Ref
	handover     *handover             // of the current attempt, nil if it may not leave its target
	headSent     bool                  // the status and header were sent to the caller
	events       proxy.Sequence        // position in the stream, over all attempts
	lastEventAt  sardine.Millis        // arrival of the last event, 0 before the first
	healthRecord *vital.TrackedRequest // health record of the current attempt
	rank         int                   // rank of the current attempt in the engine's queue, negative for none
	times        answerTimes
}

// routedMux serves callers according to the layout's routes.
func (n *Node) routedMux() http.Handler {
	return http.HandlerFunc(n.handleRouted)
}

// readyMux serves the load balancer's readiness check on a separate address.
func (n *Node) readyMux() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.callers.ReadyPath() {
			http.NotFound(w, r)
			return
		}
		if n.draining.Load() || n.view().table == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (n *Node) handleRouted(w http.ResponseWriter, r *http.Request) {
	n.newRun(w).handle(r)
}

func (n *Node) newRun(w http.ResponseWriter) *routedRun {
	return &routedRun{node: n, w: w, arrived: n.clock.Now(), ran: sardine.RanNo, losses: losses{node: n}}
}

// handle serves the request.
func (q *routedRun) handle(r *http.Request) {
	n := q.node
	if n.draining.Load() {
		q.w.Header().Set("Connection", "close")
	}
	defer func() { q.upload.Release() }()
	err := q.read(r)
	if err == nil {
		err = q.outlastsDrain()
	}
	if err != nil {
		q.refuse(err)
		return
	}
	ctx, cancel := n.callerContext(r.Context())
	defer cancel(nil)
	if q.hop = q.nextRoute(ctx, nil); q.hop != detour.Pass {
		q.countFirst()
	}
	n.openTraffic()
	q.serve(ctx)
}

// countFirst counts the request unless it was counted before. One that this node passes
// to another one without sending it to a target is counted there.
func (q *routedRun) countFirst() {
	if q.isCounted {
		return
	}
	q.isCounted = true
	n := q.node
	n.retries.countFirst(n.clock.Now(), q.name)
	q.recordDemand()
	n.gate.countDemand(q.service.routeName())
	n.strikes.arrived(q.service, q.losses.segments)
}

// read finds the route and the workspace, and reads the body.
func (q *routedRun) read(r *http.Request) error {
	n := q.node
	unlimit := n.limitRead(q.w)
	var err error
	if q.call, err = n.callers.Call(r); err != nil {
		return err
	}
	if q.passed != nil {
		if err := n.mayTake(q.passed); err != nil {
			return err
		}
	}
	known := n.published.Load()
	table := known.view.table
	if table == nil {
		return codes.New(codes.NoLease, "this entry node knows no layout yet")
	}
	limits := q.limits(table)
	if err := checkHeader(r, limits.HeaderBytes); err != nil {
		return known.denial(n.clock.Now(), err)
	}
	if q.route, err = table.Route(q.call.Host, q.call.Path); err != nil {
		return known.denial(n.clock.Now(), err)
	}
	if q.tenant, err = table.Tenant(q.route, q.call.Key); err != nil {
		return known.denial(n.clock.Now(), err)
	}
	q.deadline = q.arrived + q.route.Timeout
	q.waited = n.waitEstimator.Waited(q.route.Name, q.call.Timeout)
	if q.call.Timeout > 0 {
		q.deadline = min(q.deadline, q.arrived+q.call.Timeout)
	}
	if q.passed != nil {
		q.applyPass()
	}
	if err := q.findService(table); err != nil {
		return err
	}
	if q.upload, err = n.uploads.Read(q.w, r, limits.BodyBytes, q.bodyWait(r)); codes.Is(err, codes.TooLarge) {
		return known.denial(n.clock.Now(), err)
	} else if err != nil {
		return err
	}
	unlimit()
	body := q.upload.Bytes()
	q.request = pool.Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	q.losses.request, q.losses.service = q.call.ID, q.service.routeName()
	q.losses.segments = guard.SegmentsOf(q.losses.service, q.call.Segments)
	q.losses.poison = guard.FingerprintOf(body, q.call.Host, r.Method, r.RequestURI, q.workspace())
	return nil
}

// bodyWait returns how long the request may wait for the memory of its body. Half of its
// time is for its way and the target.
func (q *routedRun) bodyWait(r *http.Request) sardine.Millis {
	return min(bodyWait(r), (q.deadline-q.arrived)/2)
}

// workspace returns the caller's workspace, or "" without one.
func (q *routedRun) workspace() string {
	if q.tenant == nil {
		return ""
	}
	return string(q.tenant.Name)
}

// findService chooses a service by the weights of the route's split, and the
// deployment of the model if the service has engines.
func (q *routedRun) findService(table *paths.Table) error {
	name := paths.PickService(q.route, q.node.random.Float64())
	service := table.Service(name)
	if service == nil {
		return codes.New(codes.NoTarget, "service %q is not in the layout", name)
	}
	q.name = name
	q.service = serviceKey{plan.LayoutTeam, name}
	if service.Engine != nil {
		q.service.service = plan.DeploymentName(name, q.call.Model)
	}
	return nil
}

// serve sends the request to targets until one has answered it completely or no
// further attempt is allowed.
func (q *routedRun) serve(ctx context.Context) {
	if err := q.losses.allow(); err != nil {
		q.refuse(err)
		return
	}
	if err := q.begin(ctx); err != nil {
		q.endUnanswered(ctx, q.refuse, err)
		return
	}
	var next *successor // target that has taken the request over
	for {
		err := q.advance(ctx, next)
		if err == nil {
			q.losses.survived()
			q.served()
			return
		}
		next = q.takeover(err)
		if ctx.Err() != nil {
			if next != nil {
				next.abandon()
			}
			q.abandon(ctx)
			return
		}
		if next != nil {
			continue
		}
		if !q.mayGoOn(ctx, err) {
			q.endUnanswered(ctx, q.fail, q.lastError(err))
			return
		}
		q.delayMove(ctx, q.lastEventAt)
	}
}

// begin waits until the request may be sent.
func (q *routedRun) begin(ctx context.Context) error {
	switch q.hop {
	case detour.Pass:
		return nil // the other node waits for the verdict on its segments
	case detour.Refuse:
		return errNoLinks
	default:
		return q.awaitSegments(ctx)
	}
}

// advance makes the next attempt, or continues at the target that has taken the request
// over.
func (q *routedRun) advance(ctx context.Context, next *successor) error {
	switch {
	case next != nil:
		return q.resume(ctx, next)
	case q.hop == detour.Pass:
		return q.pass(ctx)
	default:
		q.countFirst()
		return q.attempt(ctx)
	}
}

// mayGoOn decides where the request is sent after an attempt that failed with err, and
// reports whether it may be sent again.
func (q *routedRun) mayGoOn(ctx context.Context, err error) bool {
	q.hop = q.nextRoute(ctx, err)
	if q.hop == detour.Serve {
		q.losses.settle(ctx)
		if q.losses.allow() != nil || q.awaitSegments(ctx) != nil {
			return false
		}
	}
	return q.mayRetry(err)
}

// lastError returns the error for the caller of a request whose last attempt has failed
// with err.
func (q *routedRun) lastError(err error) error {
	if q.hop == detour.Refuse && codes.Is(err, codes.NoTarget) {
		return errNoLinks
	}
	return err
}

// endUnanswered ends a request with an error by the given function, unless its caller
// has disconnected or its time is up.
func (q *routedRun) endUnanswered(ctx context.Context, end func(error), err error) {
	if ctx.Err() != nil {
		q.abandon(ctx)
		return
	}
	if q.refusedByPeer && q.ran == sardine.RanNo {
		q.refuse(err)
		return
	}
	end(err)
}

// servedSampling is the number of served requests per logged one. The request
// id decides, so every node logs either all lines of a request or none.
const servedSampling = 64

// served counts a completely answered request. It logs one of servedSampling of
// them, and every late one.
func (q *routedRun) served() {
	q.node.meter.served()
	if q.late() {
		q.node.meter.sized(q, "late")
		q.logLate()
		return
	}
	q.node.meter.sized(q, "served")
	if xxhash.Sum64String(string(q.call.ID))%servedSampling != 0 {
		return
	}
	attrs := []slog.Attr{
		requestAttr(q.call.ID), slog.String("route", q.route.Name), slog.Int("of", servedSampling),
		q.placeAttr(), slog.Int("attempts", q.attempts),
		slog.Int64("took_ms", int64(q.node.clock.Now()-q.arrived)), slog.Int("events", q.times.events),
		slog.Int("rank", q.rank), slog.Int64("waited_ms", int64(q.waited)), slog.Int64("patience_ms", int64(q.call.Timeout)),
		slog.Uint64("layout", q.node.view().table.Layout().Number),
		slog.Any("segments", q.call.Segments),
	}
	event.Log(q.node.log, event.RequestServed, append(attrs, q.sizeAttrs()...)...)
}

// placeAttr names the target that was tried last, or the entry node to which the request
// was passed.
func (q *routedRun) placeAttr() slog.Attr {
	if q.hop == detour.Pass {
		return slog.String("peer", string(q.peersTried[len(q.peersTried)-1]))
	}
	return slog.String("target", q.tried[len(q.tried)-1].String())
}

// mayRetry reports whether another target may be tried: the request has not run
// or is safe to run twice, the time is not up, and neither its attempts nor the
// retry limit are used up.
func (q *routedRun) mayRetry(err error) bool {
	n := q.node
	if q.hop == detour.Refuse || q.refusedByPeer {
		return false
	}
	if errors.Is(err, errCallerLeft) || codes.Is(err, codes.DeadlineTight) || codes.Is(err, codes.QueueFull) || codes.Is(err, codes.TargetLimited) || n.clock.Now() >= q.deadline {
		return false
	}
	if q.ran != sardine.RanNo && !q.route.Idempotent() {
		return false
	}
	if codes.Is(err, codes.NoTarget) { // nothing was sent
		return q.hop == detour.Pass || q.unsent > 0 && q.unsent < maxUnsent
	}
	if q.attempts >= max(q.route.MaxAttempts, 1) || !q.acceptsAnswer() {
		return false
	}
	q.retryDenied = !q.retryTaken && !n.retries.take(n.clock.Now(), q.name)
	q.retryTaken = false
	return !q.retryDenied
}

// maxUnsent bounds the attempts that fail before anything is sent.
const maxUnsent = 4

// attempt sends the request to one target and forwards its answer.
func (q *routedRun) attempt(ctx context.Context) error {
	n := q.node
	choice, err := q.pickInTurn(ctx)
	if err != nil {
		return err
	}
	if len(q.tried) == 0 {
		n.meter.waited(n.clock.Now() - q.arrived)
	}
	q.times.pickedAt, q.times.choice = n.clock.Now(), choice
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	q.healthRecord = n.health.begin(choice.Candidate)
	target := q.dispatchedTo(choice)
	defer q.register(ctx, cancel, target)()
	answer, failed := n.proxy.Open(attemptCtx, q.exchange(choice, q.events.Last(), q.rank))
	n.links.opened(attemptCtx, choice.Candidate, failed)
	if failed != nil {
		if codes.Is(failed, codes.NoTarget) {
			q.unsent++
			if attemptCtx.Err() == nil {
				n.health.unreachable(choice.Candidate.Ref)
			}
		} else {
			q.attempts++
		}
		q.ran = combine(q.ran, failed.Ran())
		n.gate.finish(choice, route.DispatchResult{Canceled: failed.Ran() == sardine.RanNo})
		q.logAttempt(choice, failed, q.ran)
		if failed.Ran() != sardine.RanNo {
			q.losses.recordLoss(attemptCtx, target, 0, failed)
		}
		return q.causeOf(attemptCtx, failed)
	}
	q.recordHead(choice, answer)
	return q.relay(attemptCtx, target, choice, &openAnswer{Answer: answer})
}

// resume continues the request at a target that has taken it over.
func (q *routedRun) resume(ctx context.Context, s *successor) error {
	defer s.cancel(nil)
	q.rank, q.healthRecord = s.rank, s.health
	q.times.pickedAt, q.times.choice = q.node.clock.Now(), s.choice
	defer q.register(ctx, s.cancel, s.target)()
	q.recordHead(s.choice, s.answer)
	return q.relay(s.ctx, s.target, s.choice, &openAnswer{Answer: s.answer, events: s.events, first: s.first})
}

// openAnswer is an answer that has begun. first is set if its events are being read.
type openAnswer struct {
	*proxy.Answer
	events *proxy.Events // nil if nothing was read from the body
	first  proxy.Event   // read from events, and not forwarded yet
}

// relay forwards an answer to its end.
func (q *routedRun) relay(ctx context.Context, target dispatched, choice *route.Choice, answer *openAnswer) error {
	n := q.node
	whole, err := q.forward(answer)
	answer.Close(whole)
	left := errors.Is(err, errCallerLeft)
	n.gate.finish(choice, route.DispatchResult{OK: whole, Canceled: left || errors.Is(context.Cause(ctx), errLinksLost)})
	if err == nil {
		q.handover.complete(nil)
		return nil
	}
	cause := q.causeOf(ctx, err)
	q.logAttempt(choice, cause, q.ran)
	if !errors.Is(err, errTargetError) && !left {
		n.links.broke(ctx, choice.Candidate)
		q.losses.recordLoss(ctx, target, q.attemptEvents, err)
	}
	return cause
}

// recordHead records that a target has started to answer.
func (q *routedRun) recordHead(choice *route.Choice, answer *proxy.Answer) {
	n := q.node
	q.attempts++
	q.counted = true
	q.ran = sardine.RanYes
	q.times.sentAt, q.times.headAt = answer.SentAt, n.clock.Now()
	n.health.progress(q.healthRecord, false)
	n.gate.firstToken(choice, route.CachedUnknown)
	if answer.Reply.HasLoad {
		n.gate.updateLoad(choice.Candidate.Ref, answer.Reply.Load)
	}
}

// mayMove reports whether the request may continue at another target if its
// current one becomes silent. A request that may not move, or has nowhere to go, keeps
// waiting, because a silent target may still be working on it.
func (q *routedRun) mayMove() bool {
	n := q.node
	tried, ran := q.handover.spent(q.tried)
	return n.view().hasOther(q.service, tried, nil) && q.route.Idempotent() && q.acceptsAnswer() && q.attempts+q.uncounted()+ran < max(q.route.MaxAttempts, 1) && n.retries.available(n.clock.Now(), q.name)
}

// acceptsAnswer reports whether another target's answer may follow what the caller has
// received: nothing yet, or a stream that can be resumed.
func (q *routedRun) acceptsAnswer() bool {
	return !q.headSent || q.events.MayResume()
}

// uncounted returns 1 while the current attempt is not included in attempts.
func (q *routedRun) uncounted() int {
	if q.counted {
		return 0
	}
	return 1
}

// dispatchedTo returns the chosen target with its present processes.
func (q *routedRun) dispatchedTo(choice *route.Choice) dispatched {
	return dispatched{candidate: choice.Candidate, processes: q.node.view().processes(choice.Candidate)}
}

// register registers a dispatch, so that its request can move if its target becomes
// silent. cancel ends the dispatch. The returned function unregisters it.
func (q *routedRun) register(ctx context.Context, cancel context.CancelCauseFunc, target dispatched) func() {
	n := q.node
	if ref := target.candidate.Ref; !slices.Contains(q.tried, ref) {
		q.tried = append(q.tried, ref)
	}
	q.counted, q.attemptEvents = false, 0
	record, end := q.healthRecord, q.startHandover(ctx, cancel, target)
	return func() {
		end()
		n.health.end(record)
	}
}

// causeOf returns the cause of a cancellation or timeout in preference to the
// I/O error that it led to.
func (q *routedRun) causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !(errors.Is(cause, errLinksLost) && codes.Is(err, codes.NoTarget)) {
		return cause
	}
	if q.node.clock.Now() >= q.deadline {
		return errDeadline
	}
	return err
}

// exchange returns the dispatch of the request to a target. forwarded is the id of the
// last event that the caller has, empty without one.
func (q *routedRun) exchange(choice *route.Choice, forwarded string, rank int) proxy.Exchange {
	c := choice.Candidate
	last := q.call.LastEvent
	if forwarded != "" {
		last = forwarded
	}
	d := sardine.Dispatch{
		Request:   q.call.ID,
		Target:    c.Head,
		Timeout:   q.deadline - q.node.clock.Now(),
		LastEvent: last,
		Rank:      rank,
	}
	if q.tenant != nil {
		d.Workspace = q.tenant.Name
	}
	return proxy.Exchange{
		MustName: true, Address: c.Address, Request: q.request, Dispatch: d, Deadline: q.deadline, Observer: q.node.observer(choice),
	}
}
