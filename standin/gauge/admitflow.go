package gauge

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/route"
)

// drawNode draws an entry node among those that are up, as a load balancer does.
func (r *admitRun) drawNode() *admitNode {
	for {
		if n := r.nodes[r.random.IntN(len(r.nodes))]; !n.down {
			return n
		}
	}
}

// offer sends a request to a random entry node.
func (r *admitRun) offer(q *admitRequest) {
	n := r.drawNode()
	if r.unmanaged {
		r.dispatch(n, 0, q)
		return
	}
	r.offerTo(n, q)
}

// offerTo passes a request to the node's admission controller.
func (r *admitRun) offerTo(n *admitNode, q *admitRequest) {
	d := n.controller.Offer(sardine.Millis(r.now), admit.Request{
		Service: "model", Workspace: workspaceName(q.workspace), Priority: sardine.Priority(q.class + 1),
		Deadline: sardine.Millis(q.start + deadlines[q.class]), Cost: q.tokens + q.work,
	})
	if d.Verdict == admit.Wait {
		n.queued[d.Ticket] = q
		r.applyDecisions(n, n.controller.Next(sardine.Millis(r.now)))
		return
	}
	r.applyDecision(n, d, q)
}

// applyDecisions acts on the admission controller's decisions on queued requests.
func (r *admitRun) applyDecisions(n *admitNode, all []admit.Decision) {
	for _, d := range all {
		q := n.queued[d.Ticket]
		delete(n.queued, d.Ticket)
		r.applyDecision(n, d, q)
	}
}

// applyDecision dispatches an admitted request. Of the callers of refused ones
// half retry, as long as they have retries left.
func (r *admitRun) applyDecision(n *admitNode, d admit.Decision, q *admitRequest) {
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
func (r *admitRun) dispatch(n *admitNode, t admit.Ticket, q *admitRequest) {
	c, err := n.router.Pick(sardine.Millis(r.now), route.Request{Service: "model", PromptTokens: int(q.work / priorityPerToken), Priority: sardine.Priority(q.class + 1)})
	if err != nil {
		r.failure = err
		return
	}
	if r.now >= r.outageFrom && r.now < r.outageTo+leaseExpiry {
		r.dispatches++
		if q.attempts == 0 {
			r.dispatched++
		}
	}
	q.attempts++
	n.router.Started(&c, sardine.Millis(r.now))
	call := &call{run: r, node: n, ticket: t, request: q, choice: c, sentAt: r.now}
	e := r.engines[r.byRef[c.Candidate.Ref]]
	r.after(0.5, func() {
		e.add(&job{class: q.class, left: q.work, tokens: q.tokens, first: call.first, ended: call.ended})
	})
	generation := e.generation
	r.after(silenceTimeout, func() { call.checkSilence(e, generation) })
}

// call is one dispatch.
type call struct {
	run          *admitRun
	node         *admitNode
	ticket       admit.Ticket
	request      *admitRequest
	choice       route.Choice
	sentAt       float64
	firstTokenAt float64 // time of the first token, 0 before
	closed       bool
}

// first handles the first token, which arrives after half a round trip.
func (c *call) first() {
	if c.closed {
		return
	}
	c.firstTokenAt = c.run.now + 0.5
	c.node.controller.FirstToken(sardine.Millis(c.run.now), c.ticket, sardine.Millis(c.firstTokenAt-c.sentAt))
	c.node.router.FirstToken(&c.choice, sardine.Millis(c.firstTokenAt), route.CachedUnknown)
}

// ended handles the end of the answer and counts it if its first token was in
// time.
func (c *call) ended() {
	r := c.run
	if c.closed {
		return
	}
	c.close(true, admit.Answered)
	c.node.budget.Succeeded(sardine.Millis(r.now), workspaceName(c.request.workspace))
	if c.firstTokenAt-c.request.start > deadlines[c.request.class] || c.request.answered {
		return
	}
	c.request.answered = true
	r.inTime[int(c.firstTokenAt/1000)]++ // counted at the first token; the rest of an answer takes seconds
	if r.now > 20000 {
		r.byClass[c.request.class]++
		r.byWorkspace[c.request.workspace]++
		if c.request.class == 2 {
			r.live.add(c.firstTokenAt - c.request.start)
		}
	}
}

// checkSilence checks at intervals whether the target is down: then it does not
// answer and its connection stays silent. The request is retried if the retry
// budget allows it.
func (c *call) checkSilence(e *priorityEngine, generation int) {
	r := c.run
	switch {
	case c.closed:
		return
	case e.generation == generation && !e.down:
		r.after(silenceTimeout, func() { c.checkSilence(e, generation) })
		return
	case c.node.down:
		c.closed = true
		c.choice = route.Choice{}
		_ = c.node.controller.Done(sardine.Millis(r.now), c.ticket, 0, admit.Abandoned)
		return
	}
	c.close(false, admit.Failed)
	d := c.node.budget.MayRetry(sardine.Millis(r.now), workspaceName(c.request.workspace), sardine.RanUnknown, c.request.idempotent, c.request.attempts)
	if d.Retry {
		c.request.resends = 0
		r.after(float64(d.After), func() { r.offerTo(c.node, c.request) })
	}
}

// close reports the end of the dispatch to the router and to the admission
// controller.
func (c *call) close(ok bool, o admit.Outcome) {
	r := c.run
	c.closed = true
	now := sardine.Millis(r.now)
	c.node.router.Ended(&c.choice, now, route.DispatchResult{OK: ok})
	if r.unmanaged {
		return
	}
	if err := c.node.controller.Done(now, c.ticket, sardine.Millis(c.firstTokenAt-c.sentAt), o); err != nil {
		r.failure = err
	}
	r.applyDecisions(c.node, c.node.controller.Next(now))
}

// goodput returns the answers in time per second between two times.
func (r *admitRun) goodput(from, to float64) float64 {
	sum := 0
	for s := int(from / 1000); s < int(to/1000); s++ {
		sum += r.inTime[s]
	}
	return float64(sum) / (to - from) * 1000
}

// classShare returns a priority class's share of the answers in time.
func (r *admitRun) classShare(class int) float64 {
	return float64(r.byClass[class]) / float64(max(r.byClass[0]+r.byClass[1]+r.byClass[2], 1))
}

// equalWorkspaceAnswers returns the answers in time of the workspaces of equal
// weight.
func (r *admitRun) equalWorkspaceAnswers() []float64 {
	return r.byWorkspace[:equalWorkspaces]
}

// callsPerRequest returns the dispatches per request during the outage and shortly
// after it.
func (r *admitRun) callsPerRequest() float64 {
	return float64(r.dispatches) / float64(max(r.dispatched, 1))
}

// recovery returns the seconds from the end of the outage to the first two
// seconds with at least 95 % of the goodput before the outage, or -1 if there
// are none.
func (r *admitRun) recovery() float64 {
	before := r.goodput(r.outageFrom-25000, r.outageFrom-10000)
	for at := r.outageTo; at+12000 <= r.now; at += 1000 {
		if r.goodput(at, at+2000) >= 0.95*before {
			return (at - r.outageTo) / 1000
		}
	}
	return -1
}

// views returns a line for each limit of the admission controllers.
func (r *admitRun) views() []string {
	var lines []string
	for _, n := range r.nodes {
		for _, v := range n.controller.View() {
			lines = append(lines, fmt.Sprintf("limit %.1f in flight %d live %d normal %d batch %d baseline %.0f ms latency %.0f ms", v.Limit, v.InFlight, v.Live, v.Normal, v.Batch, v.Baseline, v.Latency))
		}
	}
	return lines
}
