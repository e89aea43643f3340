package admit

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// minRetryAfter is the shortest Retry-After before jitter.
const minRetryAfter = 500 * sardine.Millis(1)

// running is an admitted request that has not ended.
type running struct {
	gate      *gate
	request   Request
	startedAt sardine.Millis
	observed  bool
}

// Controller admits the requests of one entry node. It is not safe for
// concurrent use.
type Controller struct {
	options    options
	random     sardine.Random
	gates      map[sardine.ServiceName]*gate
	names      []sardine.ServiceName // keys of gates, sorted, so that runs are reproducible
	queued     map[Ticket]*waiter
	running    map[Ticket]*running
	evicted    []Decision // refused in favour of other requests, not yet returned by Next
	lastTicket Ticket
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

// SetWeights replaces the workspaces' fair-share weights. Workspaces that are
// not named, and weights of 0 or less, count as 1.
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

// Offer decides about a new request. A refusal has the code
// codes.DeadlineTight or codes.QueueFull; a refused request was not run.
func (c *Controller) Offer(now sardine.Millis, r Request) Decision {
	g := c.gate(r.Service)
	k := index(r.Priority)
	if c.missesDeadline(now, g, r, g.ahead(k)) {
		return c.refuse(0, g, codes.DeadlineTight)
	}
	c.lastTicket++
	if g.ahead(k) == 0 && g.hasCapacity(k, c.options.liveShare) {
		g.classes[k].charge(r, c.weight(r.Workspace))
		return c.start(now, c.lastTicket, g, r)
	}
	if g.waiting() >= c.options.queue && !c.evictFor(g, k, r) {
		return c.refuse(c.lastTicket, g, codes.QueueFull)
	}
	w := &waiter{ticket: c.lastTicket, request: r, queuedAt: now}
	g.classes[k].push(w, c.weight(r.Workspace))
	c.queued[c.lastTicket] = w
	return Decision{Verdict: Wait, Ticket: c.lastTicket}
}

// missesDeadline reports whether the first token cannot arrive by the
// deadline.
func (c *Controller) missesDeadline(now sardine.Millis, g *gate, r Request, ahead int) bool {
	if r.Deadline == 0 {
		return false
	}
	first := g.limiter.latency
	if r.Expected > 0 {
		first = float64(r.Expected)
	}
	return float64(now)+g.wait(ahead)+first > float64(r.Deadline)
}

// evictFor refuses a waiting request in favour of a new one: a request of a
// lower class, or of a workspace with a larger queue for its weight.
// Otherwise the first workspace to fill the queue would lock out the others,
// whatever their weights.
func (c *Controller) evictFor(g *gate, k int, r Request) bool {
	for i := range k + 1 {
		longest := g.classes[i].longest()
		if longest == nil {
			continue
		}
		if i == k && !c.hasSmallerBacklog(g.classes[k], longest, r) {
			return false
		}
		w := longest.newest()
		g.classes[i].drop(w)
		delete(c.queued, w.ticket)
		c.evicted = append(c.evicted, c.refuse(w.ticket, g, codes.QueueFull))
		return true
	}
	return false
}

// hasSmallerBacklog reports whether the workspace of r, with r added, has a
// smaller backlog for its weight than the flow longest.
func (c *Controller) hasSmallerBacklog(k *class, longest *flow, r Request) bool {
	backlog := max(r.Cost, 1)
	if own := k.flows[r.Workspace]; own != nil {
		backlog += own.backlog
	}
	return backlog/c.weight(r.Workspace) < longest.normalizedBacklog()
}

func (c *Controller) start(now sardine.Millis, t Ticket, g *gate, r Request) Decision {
	g.inFlight++
	if r.Priority == sardine.PriorityLive {
		g.live++
	}
	g.limiter.limitReached = g.limiter.limitReached || float64(g.inFlight) >= g.limiter.limit-1
	c.running[t] = &running{gate: g, request: r, startedAt: now}
	return Decision{Verdict: Admit, Ticket: t}
}

func (c *Controller) refuse(t Ticket, g *gate, code codes.Code) Decision {
	return Decision{Verdict: Refuse, Ticket: t, Code: code, RetryAfter: c.retryAfter(g)}
}

// retryAfter returns the expected time until the queue is empty, with a
// random factor between 0.5 and 1.5, so that refused callers do not retry at
// the same time.
func (c *Controller) retryAfter(g *gate) sardine.Millis {
	span := max(g.wait(g.waiting()), float64(minRetryAfter))
	return sardine.Millis(min(span, 60000) * (0.5 + c.random.Float64()))
}

// Next returns the decisions about queued requests: those that start now, and
// those refused because they expired or were evicted. Call it after Offer,
// Done, Cancel and Tick.
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
	case c.missesDeadline(now, g, w.request, 0):
		return codes.DeadlineTight
	case now-w.queuedAt > c.options.maxWait:
		return codes.QueueFull
	default:
		return codes.OK
	}
}

// Cancel removes a queued request whose caller has disconnected. It reports
// whether the request was still queued, and thus was not run.
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
// request, or to a plain answer. If the time were recorded only at the end of
// a long answer, the limit would react seconds late.
func (c *Controller) FirstToken(now sardine.Millis, t Ticket, latency sardine.Millis) {
	run := c.running[t]
	if run == nil || run.observed {
		return
	}
	run.observed = true
	run.gate.limiter.observe(latency)
	run.gate.limiter.adjust(now, run.gate.inFlight)
}

// SetPressure sets the mean number of requests waiting at each target of a
// service, as reported by the targets (route.Router.Pressure). ok is false if
// they do not report it. All entry nodes get the same reports, so their
// limits converge; by latency alone the first nodes would keep their high
// limits.
func (c *Controller) SetPressure(name sardine.ServiceName, queued float64, ok bool) {
	g := c.gate(name)
	g.limiter.pressure = queued
	g.limiter.reported = ok
}

// Done records the end of an admitted request. firstToken is the time from
// dispatch to its first token; it is used only for Answered and if FirstToken
// was not called.
func (c *Controller) Done(now sardine.Millis, t Ticket, firstToken sardine.Millis, o Outcome) error {
	run := c.running[t]
	if run == nil {
		return codes.New(codes.InvariantBroken, "ticket %d is not in flight", t)
	}
	delete(c.running, t)
	g := run.gate
	g.inFlight--
	if run.request.Priority == sardine.PriorityLive {
		g.live--
	}
	switch o {
	case Answered:
		g.observeServiceTime(now - run.startedAt)
		if !run.observed {
			g.limiter.observe(firstToken)
		}
	case Overloaded:
		g.limiter.observeOverload()
	}
	g.limiter.adjust(now, g.inFlight)
	return c.Check()
}

// Tick refuses queued requests that have expired. Call it about every 100 ms,
// and Next after it.
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
			k.removeIdle()
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
