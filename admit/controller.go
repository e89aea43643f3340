package admit

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// retryBase is the shortest Retry-After.
const retryBase = 500 * sardine.Millis(1)

// running is an admitted request.
type running struct {
	gate     *gate
	request  Request
	at       sardine.Millis
	observed bool
}

// Controller admits the requests of one entry node. It is not safe for
// concurrent use.
type Controller struct {
	options options
	random  sardine.Random
	gates   map[sardine.ServiceName]*gate
	names   []sardine.ServiceName // of gates, sorted, so that runs repeat
	queued  map[Ticket]*waiter
	running map[Ticket]*running
	evicted []Decision // refused in favour of others, not yet returned by Next
	last    Ticket
}

// New returns a controller without requests.
func New(random sardine.Random, opts ...Option) *Controller {
	o := defaults()
	for _, option := range opts {
		option(&o)
	}
	return &Controller{
		options: o,
		random:  random,
		gates:   make(map[sardine.ServiceName]*gate),
		queued:  make(map[Ticket]*waiter),
		running: make(map[Ticket]*running),
	}
}

// SetWeights replaces the workspaces' fair shares. Workspaces not named, and
// weights of 0 or less, count as 1.
func (c *Controller) SetWeights(weights map[sardine.Workspace]float64) {
	c.options.weights = weights
}

func (c *Controller) weight(w sardine.Workspace) float64 {
	if v := c.options.weights[w]; v > 0 {
		return v
	}
	return 1
}

func (c *Controller) gate(name sardine.ServiceName) *gate {
	g := c.gates[name]
	if g == nil {
		g = newGate(&c.options)
		c.gates[name] = g
		at, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Insert(c.names, at, name)
	}
	return g
}

// Offer decides about a new request. A refusal's code is codes.DeadlineTight or
// codes.QueueFull; the request was not run.
func (c *Controller) Offer(now sardine.Millis, r Request) Decision {
	g := c.gate(r.Service)
	k := index(r.Priority)
	if c.late(now, g, r, g.ahead(k)) {
		return c.refuse(0, g, codes.DeadlineTight)
	}
	c.last++
	if g.ahead(k) == 0 && g.room(k, c.options.liveShare) {
		g.classes[k].charge(r, c.weight(r.Workspace))
		return c.start(now, c.last, g, r)
	}
	if g.waiting() >= c.options.queue && !c.makeRoom(g, k, r) {
		return c.refuse(c.last, g, codes.QueueFull)
	}
	w := &waiter{ticket: c.last, request: r, at: now}
	g.classes[k].push(w, c.weight(r.Workspace))
	c.queued[c.last] = w
	return Decision{Verdict: Wait, Ticket: c.last}
}

// late reports whether the request can't have its first token in time.
func (c *Controller) late(now sardine.Millis, g *gate, r Request, ahead int) bool {
	if r.Deadline == 0 {
		return false
	}
	first := g.limiter.latency
	if r.Expected > 0 {
		first = float64(r.Expected)
	}
	return float64(now)+g.wait(ahead)+first > float64(r.Deadline)
}

// makeRoom refuses a waiting request in favour of a new one: of a lower class,
// or of a workspace that has queued more for its weight. Without it the first
// to fill the queue would keep the others out, whatever their weights.
func (c *Controller) makeRoom(g *gate, k int, r Request) bool {
	for i := range k + 1 {
		longest := g.classes[i].longest()
		if longest == nil {
			continue
		}
		if i == k && !c.deserves(g.classes[k], longest, r) {
			return false
		}
		w := longest.last()
		g.classes[i].drop(w)
		delete(c.queued, w.ticket)
		c.evicted = append(c.evicted, c.refuse(w.ticket, g, codes.QueueFull))
		return true
	}
	return false
}

// deserves reports whether the workspace of r has queued less for its weight,
// with r, than the flow longest.
func (c *Controller) deserves(k *class, longest *flow, r Request) bool {
	backlog := max(r.Cost, 1)
	if own := k.flows[r.Workspace]; own != nil {
		backlog += own.backlog
	}
	return backlog/c.weight(r.Workspace) < longest.share()
}

func (c *Controller) start(now sardine.Millis, t Ticket, g *gate, r Request) Decision {
	g.inFlight++
	if r.Priority == sardine.PriorityLive {
		g.live++
	}
	g.limiter.used = g.limiter.used || float64(g.inFlight) >= g.limiter.limit-1
	c.running[t] = &running{gate: g, request: r, at: now}
	return Decision{Verdict: Admit, Ticket: t}
}

func (c *Controller) refuse(t Ticket, g *gate, code codes.Code) Decision {
	return Decision{Verdict: Refuse, Ticket: t, Code: code, RetryAfter: c.retryAfter(g)}
}

// retryAfter returns the time in which the queue empties, with jitter of half to
// one and a half times, so that refused callers do not come back together.
func (c *Controller) retryAfter(g *gate) sardine.Millis {
	span := max(g.wait(g.waiting()), float64(retryBase))
	return sardine.Millis(min(span, 60000) * (0.5 + c.random.Float64()))
}

// Next returns what becomes of queued requests: those that start now, and those
// refused because their time has passed or another took their place. Call it
// after Offer, Done, Cancel and Tick.
func (c *Controller) Next(now sardine.Millis) []Decision {
	decisions := c.evicted
	c.evicted = nil
	for _, name := range c.names {
		g := c.gates[name]
		for w := g.next(c.options.liveShare); w != nil; w = g.next(c.options.liveShare) {
			delete(c.queued, w.ticket)
			if code := c.expired(now, g, w); code != codes.OK {
				decisions = append(decisions, c.refuse(w.ticket, g, code))
				continue
			}
			decisions = append(decisions, c.start(now, w.ticket, g, w.request))
		}
	}
	return decisions
}

func (c *Controller) expired(now sardine.Millis, g *gate, w *waiter) codes.Code {
	switch {
	case c.late(now, g, w.request, 0):
		return codes.DeadlineTight
	case now-w.at > c.options.longest:
		return codes.QueueFull
	default:
		return codes.OK
	}
}

// Cancel removes a queued request whose caller has gone. It reports whether the
// request was still queued; it was not run then.
func (c *Controller) Cancel(t Ticket) bool {
	w := c.queued[t]
	if w == nil {
		return false
	}
	g := c.gates[w.request.Service]
	g.class(w.request.Priority).drop(w)
	delete(c.queued, t)
	return true
}

// FirstToken records the time from dispatch to the first token of an admitted
// request, or to a plain answer. Told only at the end of a long answer it would
// let the limit follow what was true seconds ago.
func (c *Controller) FirstToken(now sardine.Millis, t Ticket, latency sardine.Millis) {
	held := c.running[t]
	if held == nil || held.observed {
		return
	}
	held.observed = true
	held.gate.limiter.observe(latency)
	held.gate.limiter.adjust(now, held.gate.inFlight)
}

// Pressure takes the mean number of requests that wait at each target of a
// service, as the targets report it (route.Router.Pressure); ok is false if they
// do not. Reports tell all entry nodes the same, so that their limits even out;
// the latency alone lets early ones keep what they have.
func (c *Controller) Pressure(name sardine.ServiceName, queued float64, ok bool) {
	g := c.gate(name)
	g.limiter.pressure = queued
	g.limiter.reported = ok
}

// Done records the end of an admitted request. firstToken is the time from
// dispatch to its first token, used for Answered only and unless FirstToken was
// called.
func (c *Controller) Done(now sardine.Millis, t Ticket, firstToken sardine.Millis, o Outcome) error {
	held := c.running[t]
	if held == nil {
		return codes.New(codes.InvariantBroken, "ticket %d is not in flight", t)
	}
	delete(c.running, t)
	g := held.gate
	g.inFlight--
	if held.request.Priority == sardine.PriorityLive {
		g.live--
	}
	switch o {
	case Answered:
		g.learn(now - held.at)
		if !held.observed {
			g.limiter.observe(firstToken)
		}
	case Overloaded:
		g.limiter.refuse()
	}
	g.limiter.adjust(now, g.inFlight)
	return c.Check()
}

// Tick refuses queued requests whose time has passed. Call it every 100 ms or
// so, and Next after it.
func (c *Controller) Tick(now sardine.Millis) []Decision {
	var refused []Decision
	for _, t := range c.overdue(now) {
		w := c.queued[t]
		g := c.gates[w.request.Service]
		code := c.expired(now, g, w)
		g.class(w.request.Priority).drop(w)
		delete(c.queued, t)
		refused = append(refused, c.refuse(t, g, code))
	}
	for _, name := range c.names {
		g := c.gates[name]
		g.limiter.adjust(now, g.inFlight)
		for _, k := range g.classes {
			k.forget()
		}
	}
	return refused
}

func (c *Controller) overdue(now sardine.Millis) []Ticket {
	var tickets []Ticket
	for t, w := range c.queued {
		if c.expired(now, c.gates[w.request.Service], w) != codes.OK {
			tickets = append(tickets, t)
		}
	}
	slices.Sort(tickets)
	return tickets
}
