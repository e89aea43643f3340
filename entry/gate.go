package entry

import (
	"context"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/wire"
)

// refusal is an error with a Retry-After for the caller.
type refusal struct {
	cause      error
	retryAfter sardine.Millis
}

func (r *refusal) Error() string {
	return r.cause.Error()
}

func (r *refusal) Unwrap() error {
	return r.cause
}

// gate holds the node's admission controller, router and retry budget, and
// serializes the request handlers' access to them.
type gate struct {
	clock sardine.Clock

	mu        sync.Mutex
	router    *route.Router
	admission *admit.Controller
	budget    *retry.Budget
	waiting   map[admit.Ticket]chan admit.Decision
	limits    *targetLimits
}

func newGate(node sardine.NodeID, clock sardine.Clock, random sardine.Random, router *route.Router) *gate {
	return &gate{
		clock:     clock,
		router:    router,
		admission: admit.New(random),
		budget:    retry.New(random),
		waiting:   make(map[admit.Ticket]chan admit.Decision),
		limits:    newTargetLimits(node),
	}
}

// update applies the candidates and workspace weights of a new view.
func (g *gate) update(v *view) {
	var all []route.Candidate
	for _, candidates := range v.candidates {
		all = append(all, candidates...)
	}
	weights := make(map[sardine.Workspace]float64, len(v.tenancies))
	for name, t := range v.tenancies {
		weights[name] = t.tenant.Weight
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.SetPosition(v.position, max(len(v.nodes), 1))
	g.router.Update(g.clock.Now(), all)
	g.limits.update(g.clock.Now(), v)
	g.admission.SetWeights(weights)
}

// enter waits until the request may be dispatched. The ticket is released by
// releaseTicket. After an error the request has not run.
func (g *gate) enter(ctx context.Context, q admit.Request) (admit.Ticket, error) {
	g.mu.Lock()
	d := g.admission.Offer(g.clock.Now(), q)
	if d.Verdict != admit.Wait {
		g.admitNext()
		g.mu.Unlock()
		return d.Ticket, refusalOf(d)
	}
	ready := make(chan admit.Decision, 1)
	g.waiting[d.Ticket] = ready
	g.admitNext()
	g.mu.Unlock()
	return g.await(ctx, d.Ticket, ready)
}

func (g *gate) await(ctx context.Context, t admit.Ticket, ready chan admit.Decision) (admit.Ticket, error) {
	select {
	case d := <-ready:
		return t, refusalOf(d)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t)
	if g.admission.Cancel(t) {
		return t, codes.New(codes.DeadlineTight, "the caller disconnected while the request was queued")
	}
	if d := <-ready; d.Verdict == admit.Admit { // admitted while the caller disconnected
		g.endRequest(t, 0, admit.Abandoned)
	}
	return t, codes.New(codes.DeadlineTight, "the caller disconnected while the request was queued")
}

func refusalOf(d admit.Decision) error {
	if d.Verdict != admit.Refuse {
		return nil
	}
	return &refusal{cause: codes.New(d.Code, "%s", d.Code.Row().Meaning), retryAfter: d.RetryAfter}
}

// releaseTicket releases an admitted request's ticket.
func (g *gate) releaseTicket(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endRequest(t, firstToken, o)
}

func (g *gate) endRequest(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) error {
	err := g.admission.Done(g.clock.Now(), t, firstToken, o)
	g.admitNext()
	return err
}

// recordFirstToken reports to the admission controller how long an admitted
// request waited for its first token.
func (g *gate) recordFirstToken(t admit.Ticket, latency sardine.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.FirstToken(g.clock.Now(), t, latency)
	g.admitNext()
}

// maxLoadAge is the age up to which a target's reported load is used.
const maxLoadAge = 5 * sardine.Second

// tick refuses requests that have waited too long, and passes the queue lengths
// that targets report to the admission controller.
func (g *gate) tick(services []sardine.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, name := range services {
		queued, ok := g.router.Pressure(now, name, maxLoadAge)
		g.admission.SetPressure(name, queued, ok)
	}
	g.deliver(g.admission.Tick(now))
	g.admitNext()
}

func (g *gate) admitNext() {
	g.deliver(g.admission.Next(g.clock.Now()))
}

func (g *gate) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if ready := g.waiting[d.Ticket]; ready != nil {
			delete(g.waiting, d.Ticket)
			ready <- d
		}
	}
}

// pick chooses a target and records the dispatch, which finish ends. The error has
// codes.TargetLimited if only targets' limits prevent a choice.
func (g *gate) pick(q route.Request) (*route.Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	exhausted, wait := g.limits.exhausted(now, q)
	allowed := q
	if len(exhausted) > 0 {
		allowed.Exclude = slices.Concat(q.Exclude, exhausted)
	}
	choice, err := g.router.Pick(now, allowed)
	if len(exhausted) > 0 && codes.Is(err, codes.NoTarget) && g.router.HasUsable(now, q) {
		err = errLimited(wait)
	}
	if err != nil {
		return nil, err
	}
	g.router.Started(&choice, now)
	g.limits.reserve(now, &choice)
	return &choice, nil
}

func (g *gate) firstToken(c *route.Choice, cached int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.FirstToken(c, g.clock.Now(), cached)
}

func (g *gate) finish(c *route.Choice, e route.DispatchResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.router.Ended(c, now, e)
	g.limits.release(now, c)
}

// forgive makes the router use targets again that have failed.
func (g *gate) forgive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Forgive()
}

func (g *gate) updateLoad(ref route.Ref, l sardine.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.ReportLoad(g.clock.Now(), ref, l)
}

// setEngine sets the batch properties of a deployment's engines.
func (g *gate) setEngine(name sardine.ServiceName, e route.Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.SetEngine(name, e)
}

// lateInterval returns the time between two late requests that this node may
// send to a deployment.
func (g *gate) lateInterval(name sardine.ServiceName) sardine.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sardine.Millis(g.router.LateInterval(name))
}

// setInFlight sets the number of requests that all entry nodes together have in
// flight at each target.
func (g *gate) setInFlight(all []*wire.Crowd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, c := range all {
		ref := route.Ref{
			Group:       sardine.GroupID(c.GetGroup()),
			Epoch:       sardine.Epoch(c.GetEpoch()),
			VM:          sardine.VMID(c.GetVm()),
			Incarnation: sardine.Incarnation(c.GetIncarnation()),
		}
		g.router.ReportLoad(now, ref, sardine.Load{Running: int(c.GetFlights())})
	}
}

// mayRetry decides whether a failed dispatch may be retried.
func (g *gate) mayRetry(w sardine.Workspace, ran sardine.Ran, idempotent bool, attempts int) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.MayRetry(g.clock.Now(), w, ran, idempotent, attempts)
}

func (g *gate) succeeded(w sardine.Workspace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Succeeded(g.clock.Now(), w)
}

// dump returns the state of the admission controller and the router.
func (g *gate) dump() ([]admit.ServiceView, route.Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.View(), g.router.Counts()
}
