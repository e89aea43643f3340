package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
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
	arrived  sardine.Millis
	deadline sardine.Millis // the caller or the route waits no longer
	w        http.ResponseWriter

	attempts int
	counted  bool        // the attempt under way is one of them
	ran      sardine.Ran // over all attempts
	unsent   int         // attempts of which nothing left this node
	tried    []route.Ref
	began    bool          // the caller has the answer's head
	last     string        // id of the last event that was passed on
	flight   *vital.Flight // of the attempt
	rank     int           // of the attempt at its engine, negative for none
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
	q := &routed{node: n, w: w, arrived: n.clock.Now(), ran: sardine.RanNo}
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
	table := n.view().table
	if table == nil {
		return codes.New(codes.NoLease, "this entry node knows no layout yet")
	}
	if q.route, err = table.Route(q.call.Host, q.call.Path); err != nil {
		return err
	}
	if q.tenant, err = table.Tenant(q.route, q.call.Key); err != nil {
		return err
	}
	q.deadline = q.arrived + q.route.Timeout
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
	return nil
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
	for {
		err := q.attempt(ctx)
		if err == nil {
			q.served()
			return
		}
		if ctx.Err() != nil {
			q.abandon(ctx)
			return
		}
		if !q.mayRepeat(err) {
			q.fail(err)
			return
		}
	}
}

// servedShare is the number of served requests of which one is logged. All lines
// of one request are kept or none, on every node, since its id decides.
const servedShare = 64

// served logs one of many requests that were answered in full.
func (q *routed) served() {
	q.node.meter.served()
	if xxhash.Sum64String(string(q.call.ID))%servedShare != 0 {
		return
	}
	event.Log(q.node.log, event.RequestServed, requestAttr(q.call.ID), slog.String("route", q.route.Name),
		slog.String("target", q.tried[len(q.tried)-1].String()), slog.Int("attempts", q.attempts),
		slog.Int64("took_ms", int64(q.node.clock.Now()-q.arrived)), slog.Uint64("layout", q.node.view().table.Layout().Number))
}

// mayRepeat reports whether another target may try: the request has not run, or
// may run twice, and neither its attempts nor the retry budget are used up.
func (q *routed) mayRepeat(err error) bool {
	n := q.node
	if codes.Is(err, codes.DeadlineTight) || n.clock.Now() >= q.deadline {
		return false
	}
	if q.ran != sardine.RanNo && !q.route.Repeatable() {
		return false
	}
	if codes.Is(err, codes.NoTarget) { // nothing was sent
		return q.unsent > 0 && q.unsent < unsentMost
	}
	if q.attempts >= max(q.route.Attempts, 1) {
		return false
	}
	return n.repeats.take(n.clock.Now(), q.name)
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
	q.tried = append(q.tried, choice.Candidate.Ref)
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
		return q.causeOf(ctx, failed)
	}
	q.attempts++
	q.counted = true
	q.ran = sardine.RanYes
	n.vitals.progress(q.flight, false)
	n.gate.firstToken(choice, route.UnknownCached)
	if answer.Reply.Loaded {
		n.gate.load(choice.Candidate.Ref, sardine.Load{Running: answer.Reply.Running, Queued: answer.Reply.Queued})
	}
	whole, err := q.pass(answer)
	answer.Close(whole)
	done.OK = whole
	if err != nil {
		q.logAttempt(choice, err)
		return q.causeOf(ctx, err)
	}
	return nil
}

// mayMove reports whether the request could still go on at another target, if the
// one that has it falls silent. One that can't waits for its answer all the same:
// a silent target may well be at work.
func (q *routed) mayMove() bool {
	n := q.node
	return q.route.Repeatable() && q.attempts+q.flying() < max(q.route.Attempts, 1) && n.repeats.room(n.clock.Now(), q.name)
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
	q.flight = n.vitals.begin(choice.Candidate.Ref)
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

func (q *routed) pick() (*route.Choice, error) {
	n := q.node
	wanted := route.Request{Service: q.service.routed(), PromptTokens: q.call.PromptTokens}
	wanted.Exclude = append(n.vitals.suspects(), q.tried...)
	choice, err := n.gate.pick(wanted)
	if err != nil && len(wanted.Exclude) > len(q.tried) { // better a suspect than none
		wanted.Exclude = q.tried
		choice, err = n.gate.pick(wanted)
	}
	if err != nil {
		q.unsent = unsentMost // there is no other
		return nil, err
	}
	if !n.view().current(choice.Candidate) {
		n.gate.finish(choice, route.End{Abort: true})
		return nil, codes.New(codes.NoTarget, "the chosen target has just left")
	}
	if !q.placeIn(choice.Requests) {
		n.gate.finish(choice, route.End{Abort: true})
		return nil, codes.New(codes.QueueFull, "the least loaded target has %.0f requests already", choice.Requests)
	}
	return choice, nil
}

// Ranks of requests at an engine, which takes lower ones first.
const (
	rankPrompt  = 3 // can still begin in time
	rankResumed = 5 // goes on after a break
	rankLate    = 7 // begins late anyhow: served when nothing else waits
)

// Parts of an engine's batch that may wait before it.
const (
	// promptShare is how many may wait so that the last of them still begins
	// within usual objectives: a batch turns over in about a second.
	promptShare = 0.2
	// waitingShare is how many may wait at all. Engines take a little more.
	waitingShare = 1.5
)

// placeIn ranks the request by the requests at its target, and reports whether it
// may go there at all.
func (q *routed) placeIn(requests float64) bool {
	q.rank = -1
	service := q.node.view().table.Service(q.name)
	if service == nil || service.Engine == nil || service.Engine.Slots == 0 {
		return true
	}
	slots := float64(service.Engine.Slots)
	late := q.node.clock.Now()-q.arrived > q.route.Objective
	switch {
	case q.last != "":
		q.rank = rankResumed
	case late || requests >= slots*(1+promptShare):
		q.rank = rankLate
	default:
		q.rank = rankPrompt
	}
	return requests < slots*(1+waitingShare)
}

func (q *routed) exchange(choice *route.Choice) proxy.Exchange {
	c := choice.Candidate
	last := q.call.LastEvent
	if q.last != "" {
		last = q.last
	}
	d := sardine.Dispatch{
		Target:    c.Head,
		Patience:  q.deadline - q.node.clock.Now(),
		LastEvent: last,
		Rank:      q.rank,
	}
	if q.tenant != nil {
		d.Workspace = q.tenant.Name
	}
	return proxy.Exchange{ID: q.call.ID, Address: c.Address, Request: q.request, Dispatch: d, Until: q.deadline}
}

// abandon ends a request whose caller has left or whose time is over.
func (q *routed) abandon(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errDrained) {
		q.fail(errDrained)
		return
	}
	panic(http.ErrAbortHandler) // nobody reads an answer any more
}

// fail gives the request up. What may have run gets an answer that promises
// nothing; a head that is out can only be followed by the connection's end.
func (q *routed) fail(err error) {
	event.Log(q.node.log, event.RequestFailed, requestAttr(q.call.ID), codeAttr(err), ranAttr(q.ran), slog.Int("attempts", q.attempts))
	q.node.meter.failed(err)
	if q.began {
		panic(http.ErrAbortHandler)
	}
	if q.ran == sardine.RanNo {
		if status := codes.Of(err).Status(); status >= http.StatusInternalServerError {
			err = codes.Wrap(codes.NoTarget, err, "the request was not run")
		}
	} else if codes.Of(err).Status() == http.StatusServiceUnavailable {
		err = codes.Wrap(codes.TargetFailed, err, "the request may have run")
	}
	q.answer(err)
}

// refuse answers a request that no target got.
func (q *routed) refuse(err error) {
	event.Log(q.node.log, event.RequestRefused, requestAttr(q.call.ID), codeAttr(err))
	q.node.meter.refused(err)
	if closesConnection(err) {
		q.w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	q.answer(err)
}

func (q *routed) answer(err error) {
	after := sardine.Millis(0)
	if codes.Of(err).Status() == http.StatusServiceUnavailable {
		after = q.node.comeBack()
	}
	q.node.callers.Refuse(q.w, err, after)
}

// returnAfter is when callers of a request that was not run should come back:
// about the time until a group that lost a member is replaced in the routes.
const returnAfter = sardine.Second

// comeBack spreads the return of refused callers.
func (n *Node) comeBack() sardine.Millis {
	return returnAfter/2 + sardine.Millis(n.random.IntN(int(returnAfter)))
}

func (q *routed) logAttempt(choice *route.Choice, err error) {
	q.node.meter.attempted(err)
	event.Log(q.node.log, event.AttemptFailed, requestAttr(q.call.ID), codeAttr(err), ranAttr(q.ran),
		slog.String("target", choice.Candidate.Ref.String()), slog.String("route", q.route.Name),
		slog.String("waited_ms", strconv.Itoa(int(q.node.clock.Now()-q.arrived))))
}
