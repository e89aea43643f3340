package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/vital"
)

// routed is one caller's request that a layout's route sends to a service.
type routed struct {
	node     *Node
	call     sardine.Call
	route    *sardine.Route
	name     sardine.ServiceName // of the layout's service
	service  serviceKey          // of the deployment
	tenant   *sardine.KeyTenant  // nil without a key
	request  pool.Request
	losses   losses
	arrived  sardine.Millis
	waited   sardine.Millis // by the caller before it came here
	deadline sardine.Millis // the caller or the route waits no longer
	w        http.ResponseWriter

	attempts int
	counted  bool        // the attempt under way is one of them
	ran      sardine.Ran // over all attempts
	unsent   int         // attempts of which nothing left this node
	// repeatDenied tells that the bound on repeats forbade another attempt.
	repeatDenied bool
	tried        []route.Ref
	began        bool           // the caller has the answer's head
	events       proxy.Sequence // of a stream, over all attempts
	eventAt      sardine.Millis // when an event came last, 0 before the first
	flight       *vital.Flight  // of the attempt
	rank         int            // of the attempt at its engine, negative for none
	times        answerTimes
}

// routedMux serves callers by the layout's routes.
func (n *Node) routedMux() http.Handler {
	return http.HandlerFunc(n.handleRouted)
}

// readyMux answers the balancer on an address of its own.
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
	q := &routed{node: n, w: w, arrived: n.clock.Now(), ran: sardine.RanNo, losses: losses{node: n}}
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := q.read(r); err != nil {
		q.refuse(err)
		return
	}
	ctx, cancel := n.callerContext(r.Context())
	defer cancel(nil)
	n.repeats.first(q.arrived, q.name)
	q.askPace()
	n.openTraffic()
	q.serve(ctx)
}

// read finds the route and the workspace, and reads the body.
func (q *routed) read(r *http.Request) error {
	n := q.node
	var err error
	if q.call, err = n.callers.Call(r); err != nil {
		return err
	}
	known := n.published.Load()
	table := known.view.table
	if table == nil {
		return codes.New(codes.NoLease, "this entry node knows no layout yet")
	}
	if q.route, err = table.Route(q.call.Host, q.call.Path); err != nil {
		return known.denial(q.arrived, err)
	}
	if q.tenant, err = table.Tenant(q.route, q.call.Key); err != nil {
		return known.denial(q.arrived, err)
	}
	q.deadline = q.arrived + q.route.Timeout
	q.waited = n.patiences.Waited(q.route.Name, q.call.Patience)
	if q.call.Patience > 0 {
		q.deadline = min(q.deadline, q.arrived+q.call.Patience)
	}
	if err := q.findService(table); err != nil {
		return err
	}
	n.extendRead(q.w)
	body, err := readBody(r, table.Layout().Limits.BodyBytes)
	if err != nil {
		return err
	}
	q.request = pool.Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	q.losses.poison = guard.Of(body, q.call.Host, r.Method, r.RequestURI, q.workspace())
	return nil
}

// workspace returns the caller's workspace, empty without a key.
func (q *routed) workspace() string {
	if q.tenant == nil {
		return ""
	}
	return string(q.tenant.Name)
}

// findService picks a part of the route's split, and the model's deployment if
// the service has engines.
func (q *routed) findService(table *paths.Table) error {
	name := paths.Split(q.route, q.node.random.Float64())
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

// serve sends the request to targets until one has answered it in full, or
// nothing more may be tried.
func (q *routed) serve(ctx context.Context) {
	if err := q.losses.allow(); err != nil {
		q.refuse(err)
		return
	}
	for {
		err := q.attempt(ctx)
		if err == nil {
			q.losses.survived()
			q.served()
			return
		}
		if ctx.Err() != nil {
			q.abandon(ctx)
			return
		}
		if q.losses.allow() != nil || !q.mayRepeat(err) {
			q.fail(err)
			return
		}
		q.awaitTurn(ctx)
	}
}

// servedShare is the number of served requests of which one is logged. All lines
// of one request are kept or none, on every node, since its id decides.
const servedShare = 64

// served logs one of many requests that were answered in full, and each late one.
func (q *routed) served() {
	q.node.meter.served()
	if q.late() {
		q.node.meter.sized(q, "late")
		q.logLate()
		return
	}
	q.node.meter.sized(q, "served")
	if xxhash.Sum64String(string(q.call.ID))%servedShare != 0 {
		return
	}
	attrs := []slog.Attr{
		requestAttr(q.call.ID), slog.String("route", q.route.Name), slog.Int("of", servedShare),
		slog.String("target", q.tried[len(q.tried)-1].String()), slog.Int("attempts", q.attempts),
		slog.Int64("took_ms", int64(q.node.clock.Now()-q.arrived)), slog.Int("events", q.times.events),
		slog.Int("rank", q.rank), slog.Int64("waited_ms", int64(q.waited)), slog.Int64("patience_ms", int64(q.call.Patience)),
		slog.Uint64("layout", q.node.view().table.Layout().Number),
	}
	event.Log(q.node.log, event.RequestServed, append(attrs, q.sizeAttrs()...)...)
}

// mayRepeat reports whether another target may try: the request has not run, or
// may run twice, and neither its attempts nor the retry budget are used up.
func (q *routed) mayRepeat(err error) bool {
	n := q.node
	if codes.Is(err, codes.DeadlineTight) || codes.Is(err, codes.QueueFull) || n.clock.Now() >= q.deadline {
		return false
	}
	if q.ran != sardine.RanNo && !q.route.Repeatable() {
		return false
	}
	if codes.Is(err, codes.NoTarget) { // nothing was sent
		return q.unsent > 0 && q.unsent < unsentMost
	}
	if q.attempts >= max(q.route.Attempts, 1) || !q.events.MayResume() {
		return false
	}
	q.repeatDenied = !n.repeats.take(n.clock.Now(), q.name)
	return !q.repeatDenied
}

// unsentMost bounds the targets that are tried in vain before anything is sent.
const unsentMost = 4

// attempt sends the request to one target and passes its answer on.
func (q *routed) attempt(ctx context.Context) error {
	n := q.node
	choice, err := q.pick()
	if err != nil {
		return err
	}
	if len(q.tried) == 0 {
		n.meter.waited(n.clock.Now() - q.arrived)
	}
	q.tried = append(q.tried, choice.Candidate.Ref)
	q.times.pickedAt, q.times.choice = n.clock.Now(), choice
	target := dispatched{candidate: choice.Candidate, crew: n.view().crew(choice.Candidate)}
	ctx, end := q.takeOff(ctx, choice)
	defer end()
	done := route.End{}
	defer func() { n.gate.finish(choice, done) }()
	answer, failed := n.proxy.Open(ctx, q.exchange(choice))
	if failed != nil {
		if codes.Is(failed, codes.NoTarget) {
			q.unsent++
			n.vitals.unreachable(choice.Candidate.Ref)
		} else {
			q.attempts++
		}
		q.ran = combine(q.ran, failed.Ran())
		done.Abort = failed.Ran() == sardine.RanNo
		q.logAttempt(choice, failed)
		if failed.Ran() != sardine.RanNo {
			q.losses.lose(ctx, target, failed)
		}
		return q.causeOf(ctx, failed)
	}
	q.noteHead(choice, answer)
	whole, err := q.pass(answer)
	answer.Close(whole)
	done.OK = whole
	if err != nil {
		q.logAttempt(choice, err)
		if !errors.Is(err, errTargetError) {
			q.losses.lose(ctx, target, err)
		}
		return q.causeOf(ctx, err)
	}
	return nil
}

// noteHead notes that a target has begun to answer.
func (q *routed) noteHead(choice *route.Choice, answer *proxy.Answer) {
	n := q.node
	q.attempts++
	q.counted = true
	q.ran = sardine.RanYes
	q.times.sentAt, q.times.headAt = answer.SentAt, n.clock.Now()
	n.vitals.progress(q.flight, false)
	n.gate.firstToken(choice, route.UnknownCached)
	if answer.Reply.Loaded {
		n.gate.load(choice.Candidate.Ref, answer.Reply.Load)
	}
}

// mayMove reports whether the request could still go on at another target, if the
// one that has it falls silent. One that can't waits for its answer all the same:
// a silent target may well be at work.
func (q *routed) mayMove() bool {
	n := q.node
	return q.route.Repeatable() && q.events.MayResume() && q.attempts+q.flying() < max(q.route.Attempts, 1) && n.repeats.room(n.clock.Now(), q.name)
}

// flying is 1 while the attempt under way is not counted yet.
func (q *routed) flying() int {
	if q.counted {
		return 0
	}
	return 1
}

// takeOff registers the dispatch, so that it can be broken off if its target
// stands still.
func (q *routed) takeOff(ctx context.Context, choice *route.Choice) (context.Context, func()) {
	n := q.node
	q.flight = n.vitals.begin(choice.Candidate)
	q.counted = false
	if !q.mayMove() {
		return ctx, func() { n.vitals.end(q.flight) }
	}
	ctx, cancel, end := n.flights.begin(ctx, choice.Candidate)
	return ctx, func() {
		cancel(nil)
		end()
		n.vitals.end(q.flight)
	}
}

// causeOf prefers why the attempt was cut off over what that looked like.
func (q *routed) causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if q.node.clock.Now() >= q.deadline {
		return errDeadline
	}
	return err
}

func (q *routed) exchange(choice *route.Choice) proxy.Exchange {
	c := choice.Candidate
	last := q.call.LastEvent
	if passed := q.events.Last(); passed != "" {
		last = passed
	}
	d := sardine.Dispatch{
		Request:   q.call.ID,
		Target:    c.Head,
		Patience:  q.deadline - q.node.clock.Now(),
		LastEvent: last,
		Rank:      q.rank,
	}
	if q.tenant != nil {
		d.Workspace = q.tenant.Name
	}
	return proxy.Exchange{Named: true, Address: c.Address, Request: q.request, Dispatch: d, Until: q.deadline}
}
