package entry

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/route"
)

// limitTarget returns the process whose limit holds for a candidate's requests.
func limitTarget(c route.Candidate) quota.Target {
	return quota.Target{VM: c.Head, Incarnation: c.HeadIncarnation}
}

// limitTargets returns all targets that are in the replicated state, with their
// deployments. A limit outlives the group that its target is a member of.
func (v *view) limitTargets() map[quota.Target]sardine.ServiceName {
	all := make(map[quota.Target]sardine.ServiceName, len(v.targetStates))
	for vm, s := range v.targetStates {
		all[quota.Target{VM: vm, Incarnation: s.incarnation}] = ""
	}
	for _, candidates := range v.candidates {
		for _, c := range candidates {
			all[limitTarget(c)] = c.Service
		}
	}
	return all
}

// targetLimits holds the limits of the targets that this node knows, and its use of
// them. It is guarded by gate.mu.
type targetLimits struct {
	table      *quota.Table
	candidates map[sardine.ServiceName][]route.Candidate // by deployment
	reserved   map[*route.Choice]quota.Target            // dispatches that were counted and not sent yet
	queues     map[sardine.ServiceName]*turnQueue        // requests that wait, by deployment
}

func newTargetLimits(node sardine.NodeID) *targetLimits {
	return &targetLimits{
		table:      quota.NewTable(node),
		candidates: make(map[sardine.ServiceName][]route.Candidate),
		reserved:   make(map[*route.Choice]quota.Target),
		queues:     make(map[sardine.ServiceName]*turnQueue),
	}
}

// update applies a new view.
func (l *targetLimits) update(now sardine.Millis, v *view) {
	clear(l.candidates)
	for key, candidates := range v.candidates {
		l.candidates[key.routeName()] = candidates
	}
	l.table.SetNodes(now, v.nodes)
	l.table.Retain(v.limitTargets())
}

// exhausted returns the candidates of a request that take no further one now, and the
// time until one of them does.
func (l *targetLimits) exhausted(now sardine.Millis, q route.Request) (all []route.Ref, wait sardine.Millis) {
	if l.table.Empty() {
		return nil, 0
	}
	for _, c := range l.candidates[q.Service] {
		w := l.table.Wait(now, limitTarget(c))
		if w == 0 || slices.Contains(q.Exclude, c.Ref) {
			continue
		}
		if len(all) == 0 || w < wait {
			wait = w
		}
		all = append(all, c.Ref)
	}
	return all, wait
}

// limited returns the candidates of a deployment that have a limit.
func (l *targetLimits) limited(now sardine.Millis, service sardine.ServiceName) []route.Ref {
	var all []route.Ref
	for _, c := range l.candidates[service] {
		if g := limitTarget(c); l.table.Wait(now, g) > 0 || l.table.Rate(now, g) > 0 {
			all = append(all, c.Ref)
		}
	}
	return all
}

// rate returns how many requests per second this node may send to a deployment, as far
// as its targets are limited.
func (l *targetLimits) rate(now sardine.Millis, service sardine.ServiceName) float64 {
	sum := 0.0
	for _, c := range l.candidates[service] {
		sum += l.table.Rate(now, limitTarget(c))
	}
	return sum
}

// reserve counts a dispatch against its target's limit.
func (l *targetLimits) reserve(now sardine.Millis, c *route.Choice) {
	if l.table.Empty() {
		return
	}
	g := limitTarget(c.Candidate)
	l.table.Take(now, g)
	l.reserved[c] = g
}

// release takes back a dispatch that was not sent.
func (l *targetLimits) release(now sardine.Millis, c *route.Choice) {
	g, reserved := l.reserved[c]
	if !reserved {
		return
	}
	delete(l.reserved, c)
	l.table.Return(now, g)
}

// errLimited returns the error of a request that only limits keep from a target.
func errLimited(wait sardine.Millis) error {
	return &refusal{cause: codes.New(codes.TargetLimited, "the next turn at a target is in %d ms", wait), retryAfter: wait}
}

// limitWait returns the time after which a request that was not sent because of limits
// may be sent, and whether that was the reason.
func limitWait(err error) (wait sardine.Millis, limited bool) {
	var r *refusal
	if codes.Is(err, codes.TargetLimited) && errors.As(err, &r) {
		return r.retryAfter, true
	}
	return 0, false
}

// limitObserver counts a dispatch that was sent, and notes what its target's answer
// states about its limit. It implements proxy.Observer.
type limitObserver struct {
	node   *Node
	choice *route.Choice
}

// observer returns the observer of a dispatch.
func (n *Node) observer(c *route.Choice) limitObserver {
	return limitObserver{node: n, choice: c}
}

// Sent implements proxy.Observer.
func (o limitObserver) Sent() {
	g := o.node.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limits.reserved, o.choice)
}

// Replied implements proxy.Observer.
func (o limitObserver) Replied(sentAt sardine.Millis, status int, r sardine.Reply) {
	n, target := o.node, limitTarget(o.choice.Candidate)
	n.links.progressed(&o.choice.Candidate)
	if r.InvalidLimit != "" {
		n.logInvalidLimit(target, r.InvalidLimit)
		return
	}
	ran := status >= http.StatusOK && status < http.StatusMultipleChoices
	n.logLimits(n.gate.observeLimit(sentAt, target, r, ran))
}

// turnAt returns the time until a target takes a further request.
func (g *gate) turnAt(c route.Candidate) sardine.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.table.Wait(g.clock.Now(), limitTarget(c))
}

// observeLimit notes a target's answer and returns the changes of its limit.
func (g *gate) observeLimit(sentAt sardine.Millis, target quota.Target, r sardine.Reply, ran bool) []quota.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.HasLimit && g.limits.table.Empty() {
		return nil
	}
	g.limits.table.Observe(g.clock.Now(), sentAt, target, r.Limit, r.HasLimit, ran)
	return g.limits.table.Changes()
}

// countDemand counts a caller's request for the shares in its deployment's targets.
func (g *gate) countDemand(service sardine.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.table.CountDemand(g.clock.Now(), service)
}

// limitReport returns the report on limits to the control leader.
func (g *gate) limitReport() quota.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.table.Report(g.clock.Now())
}

// applyShares applies the leader's answer to a report that was sent at the given time.
func (g *gate) applyShares(askedAt sardine.Millis, shares []quota.Share) []quota.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.table.Apply(g.clock.Now(), askedAt, shares)
	return g.limits.table.Changes()
}

// limitViews returns the limits for the state dump.
func (g *gate) limitViews() []quota.LimitView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.table.View(g.clock.Now())
}

func (n *Node) logLimits(changes []quota.Change) {
	for _, c := range changes {
		source := "leader"
		if c.Own {
			source = "answer"
		}
		event.Log(n.log, event.TargetLimited, limitTargetAttr(c.Target), slog.Float64("before", c.Before),
			slog.Float64("after", c.After), slog.String("source", source))
	}
}

// logInvalidLimit logs the first invalid limit of a target.
func (n *Node) logInvalidLimit(target quota.Target, reason string) {
	if _, logged := n.invalidLimits.LoadOrStore(target.VM, target.Incarnation); logged {
		return
	}
	event.Log(n.log, event.LimitInvalid, limitTargetAttr(target), slog.String("reason", reason))
}

func limitTargetAttr(g quota.Target) slog.Attr {
	return slog.String("target", route.Ref{VM: g.VM, Incarnation: g.Incarnation}.String())
}

// limitedTargets returns the number of targets with a limit.
func (n *Node) limitedTargets() int {
	count := 0
	for _, l := range n.gate.limitViews() {
		if l.Limit != quota.Unlimited {
			count++
		}
	}
	return count
}
