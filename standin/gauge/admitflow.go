package gauge

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/route"
)

// node draws an entry node that the balancer takes to be up.
func (r *admitRun) node() *admitNode {
	for {
		if n := r.nodes[r.random.IntN(len(r.nodes))]; !n.dark {
			return n
		}
	}
}

// offer sends a request to an entry node.
func (r *admitRun) offer(q *ask) {
	n := r.node()
	if r.open {
		r.dispatch(n, 0, q)
		return
	}
	r.offerTo(n, q)
}

func (r *admitRun) offerTo(n *admitNode, q *ask) {
	d := n.control.Offer(sardine.Millis(r.now), admit.Request{
		Service: "model", Workspace: tenantName(q.tenant), Priority: sardine.Priority(q.class + 1),
		Deadline: sardine.Millis(q.start + deadlines[q.class]), Cost: q.tokens + q.work,
	})
	if d.Verdict == admit.Wait {
		n.queued[d.Ticket] = q
		r.decide(n, n.control.Next(sardine.Millis(r.now)))
		return
	}
	r.settle(n, d, q)
}

// decide acts on what became of queued requests.
func (r *admitRun) decide(n *admitNode, all []admit.Decision) {
	for _, d := range all {
		q := n.queued[d.Ticket]
		delete(n.queued, d.Ticket)
		r.settle(n, d, q)
	}
}

func (r *admitRun) settle(n *admitNode, d admit.Decision, q *ask) {
	if d.Verdict == admit.Admit {
		r.dispatch(n, d.Ticket, q)
		return
	}
	if q.resends == 0 || r.random.IntN(2) == 0 {
		return
	}
	q.resends--
	r.after(float64(d.RetryAfter), func() {
		q.start = r.now
		r.offer(q)
	})
}

// dispatch sends a request to a target.
func (r *admitRun) dispatch(n *admitNode, t admit.Ticket, q *ask) {
	c, err := n.router.Pick(sardine.Millis(r.now), route.Request{Service: "model", PromptTokens: int(q.work / slotPerToken), Priority: sardine.Priority(q.class + 1)})
	if err != nil {
		r.failure = err
		return
	}
	if r.now >= r.darkFrom && r.now < r.darkTo+leaseLapse {
		r.dispatches++
		if q.attempts == 0 {
			r.dispatched++
		}
	}
	q.attempts++
	n.router.Started(&c, sardine.Millis(r.now))
	call := &call{run: r, node: n, ticket: t, ask: q, choice: c, at: r.now}
	e := r.engines[r.byRef[c.Candidate.Ref]]
	r.after(0.5, func() {
		e.add(&job{class: q.class, left: q.work, tokens: q.tokens, first: call.first, ended: call.ended})
	})
	age := e.age
	r.after(silentAfter, func() { call.watch(e, age) })
}

// call is one dispatch.
type call struct {
	run    *admitRun
	node   *admitNode
	ticket admit.Ticket
	ask    *ask
	choice route.Choice
	at     float64
	token  float64 // instant of the first token, 0 before
	closed bool
}

func (c *call) first() {
	if c.closed {
		return
	}
	c.token = c.run.now + 0.5
	c.node.control.FirstToken(sardine.Millis(c.run.now), c.ticket, sardine.Millis(c.token-c.at))
	c.node.router.FirstToken(&c.choice, sardine.Millis(c.token), route.CachedUnknown)
}

func (c *call) ended() {
	r := c.run
	if c.closed {
		return
	}
	c.close(true, admit.Answered)
	c.node.budget.Succeeded(sardine.Millis(r.now), tenantName(c.ask.tenant))
	if c.token-c.ask.start > deadlines[c.ask.class] || c.ask.answered {
		return
	}
	c.ask.answered = true
	r.good[int(c.token/1000)]++ // an answer takes seconds after its first token
	if r.now > 20000 {
		r.byClass[c.ask.class]++
		r.byTenant[c.ask.tenant]++
		if c.ask.class == 2 {
			r.live.add(c.token - c.ask.start)
		}
	}
}

// watch notices that a target went silent: it answers no more and its
// connection yields nothing.
func (c *call) watch(e *slotEngine, age int) {
	r := c.run
	switch {
	case c.closed:
		return
	case e.age == age && !e.dark:
		r.after(silentAfter, func() { c.watch(e, age) })
		return
	case c.node.dark:
		c.closed = true
		c.choice = route.Choice{}
		_ = c.node.control.Done(sardine.Millis(r.now), c.ticket, 0, admit.Abandoned)
		return
	}
	c.close(false, admit.Failed)
	d := c.node.budget.MayRetry(sardine.Millis(r.now), tenantName(c.ask.tenant), sardine.RanUnknown, c.ask.idempotent, c.ask.attempts)
	if d.Retry {
		c.ask.resends = 0
		r.after(float64(d.After), func() { r.offerTo(c.node, c.ask) })
	}
}

// close ends a dispatch towards the cores.
func (c *call) close(ok bool, o admit.Outcome) {
	r := c.run
	c.closed = true
	now := sardine.Millis(r.now)
	c.node.router.Ended(&c.choice, now, route.DispatchResult{OK: ok})
	if r.open {
		return
	}
	if err := c.node.control.Done(now, c.ticket, sardine.Millis(c.token-c.at), o); err != nil {
		r.failure = err
	}
	r.decide(c.node, c.node.control.Next(now))
}

func (r *admitRun) goodput(from, to float64) float64 {
	sum := 0
	for s := int(from / 1000); s < int(to/1000); s++ {
		sum += r.good[s]
	}
	return float64(sum) / (to - from) * 1000
}

func (r *admitRun) classShare(class int) float64 {
	return float64(r.byClass[class]) / float64(max(r.byClass[0]+r.byClass[1]+r.byClass[2], 1))
}

// equals returns what the workspaces of equal weight got.
func (r *admitRun) equals() []float64 {
	return r.byTenant[:equalTenants]
}

func (r *admitRun) callsPerRequest() float64 {
	return float64(r.dispatches) / float64(max(r.dispatched, 1))
}

// recovery returns the seconds from the data centre's return to the first second
// with 95 % of the goodput before it went dark, over two seconds.
func (r *admitRun) recovery() float64 {
	before := r.goodput(r.darkFrom-25000, r.darkFrom-10000)
	for at := r.darkTo; at+12000 <= r.now; at += 1000 {
		if r.goodput(at, at+2000) >= 0.95*before {
			return (at - r.darkTo) / 1000
		}
	}
	return -1
}

func (r *admitRun) views() []string {
	var lines []string
	for _, n := range r.nodes {
		for _, v := range n.control.View() {
			lines = append(lines, fmt.Sprintf("limit %.1f in flight %d live %d normal %d batch %d baseline %.0f ms latency %.0f ms", v.Limit, v.InFlight, v.Live, v.Normal, v.Batch, v.Baseline, v.Latency))
		}
	}
	return lines
}
