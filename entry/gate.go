package entry

import (
	"context"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/wire"
)

// refusal is an error that says when the caller may come back.
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

// gate holds the node's decision cores and lets the request handlers, which run
// in goroutines of their own, take turns at them.
type gate struct {
	clock sardine.Clock

	mu        sync.Mutex
	router    *route.Router
	admission *admit.Controller
	budget    *retry.Budget
	waiting   map[admit.Ticket]chan admit.Decision
}

func newGate(clock sardine.Clock, random sardine.Random, router *route.Router) *gate {
	return &gate{
		clock:     clock,
		router:    router,
		admission: admit.New(random),
		budget:    retry.New(random),
		waiting:   make(map[admit.Ticket]chan admit.Decision),
	}
}

// update takes over the candidates and shares of a new view.
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
	g.router.SetPosition(v.position, max(v.nodes, 1))
	g.router.Update(g.clock.Now(), all)
	g.admission.SetWeights(weights)
}

// enter waits until the request may be dispatched. The ticket goes back by
// leave. An error means that the request was not run.
func (g *gate) enter(ctx context.Context, q admit.Request) (admit.Ticket, error) {
	g.mu.Lock()
	d := g.admission.Offer(g.clock.Now(), q)
	if d.Verdict != admit.Wait {
		g.release()
		g.mu.Unlock()
		return d.Ticket, refusalOf(d)
	}
	ready := make(chan admit.Decision, 1)
	g.waiting[d.Ticket] = ready
	g.release()
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
		return t, codes.New(codes.DeadlineTight, "the caller left while the request waited")
	}
	if d := <-ready; d.Verdict == admit.Admit { // released while the caller left
		g.done(t, 0, admit.Abandoned)
	}
	return t, codes.New(codes.DeadlineTight, "the caller left while the request waited")
}

func refusalOf(d admit.Decision) error {
	if d.Verdict != admit.Refuse {
		return nil
	}
	return &refusal{cause: codes.New(d.Code, "%s", d.Code.Row().Meaning), retryAfter: d.RetryAfter}
}

// leave returns an admitted request's ticket.
func (g *gate) leave(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done(t, firstToken, o)
}

func (g *gate) done(t admit.Ticket, firstToken sardine.Millis, o admit.Outcome) error {
	err := g.admission.Done(g.clock.Now(), t, firstToken, o)
	g.release()
	return err
}

// answered tells how long an admitted request waited for its first token.
func (g *gate) answered(t admit.Ticket, latency sardine.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.FirstToken(g.clock.Now(), t, latency)
	g.release()
}

// loadMaxAge is how old a target's reported load may be to count.
const loadMaxAge = 5 * sardine.Second

// tick refuses what waited for too long, and tells the admission what targets
// report about their queues.
func (g *gate) tick(services []sardine.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, name := range services {
		queued, ok := g.router.Pressure(now, name, loadMaxAge)
		g.admission.Pressure(name, queued, ok)
	}
	g.deliver(g.admission.Tick(now))
	g.release()
}

func (g *gate) release() {
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

// pick chooses a target and records the dispatch; finish ends it.
func (g *gate) pick(q route.Request) (*route.Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	choice, err := g.router.Pick(now, q)
	if err != nil {
		return nil, err
	}
	g.router.Started(&choice, now)
	return &choice, nil
}

func (g *gate) firstToken(c *route.Choice, cached int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.FirstToken(c, g.clock.Now(), cached)
}

func (g *gate) finish(c *route.Choice, e route.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Ended(c, g.clock.Now(), e)
}

func (g *gate) load(ref route.Ref, l sardine.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Load(g.clock.Now(), ref, l)
}

// setEngine tells how a deployment's engines work on their batches.
func (g *gate) setEngine(name sardine.ServiceName, e route.Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.SetEngine(name, e)
}

// lateEvery returns the time between two requests of this node to a deployment
// that are late already.
func (g *gate) lateEvery(name sardine.ServiceName) sardine.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sardine.Millis(g.router.LateEvery(name))
}

// crowds takes how many requests all entry nodes have in flight at targets.
func (g *gate) crowds(all []*wire.Crowd) {
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
		g.router.Load(now, ref, sardine.Load{Running: int(c.GetFlights())})
	}
}

// mayRetry decides whether a failed dispatch may be sent again.
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

// dump returns the state of the admission and of the router.
func (g *gate) dump() ([]admit.GateView, route.Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.View(), g.router.Counts()
}
