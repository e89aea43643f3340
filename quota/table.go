package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Unlimited stands for no limit in changes and views.
const Unlimited = -1.0

const (
	// removalRetention is how long the removal of a limit is reported.
	removalRetention = 30 * sardine.Second
	// releaseTime is how long the rate of a target rises after its limit was
	// removed. It doubles each second.
	releaseTime = 8 * sardine.Second
	// idleReportInterval is the time between two reports of a node that has nothing
	// to report.
	idleReportInterval = 2 * sardine.Second
	// demandSeconds is the time constant of the moving mean of the demand.
	demandSeconds = 2.0
	// minDemand is the rate, in requests per second, below which a demand is 0.
	minDemand = 1e-3
)

// entry is what a node knows of one target's limit.
type entry struct {
	statement  statement
	unstatedAt sardine.Millis // first answer without a limit after the last with one, if later than that
	bucket     bucket
	shared     float64        // rate of the last share
	sharedOf   float64        // usable rate of which it is a part
	shareEnd   sardine.Millis // end of the last share
	hasShare   bool
	releasedAt sardine.Millis // removal of the limit
	released   float64        // rate at that time, 0 if none is being released
	position   int            // of the node in the target's rendezvous order
}

// demand is the rate of arriving requests of one deployment.
type demand struct {
	count float64 // since the last report
	rate  float64 // requests per second, moving mean
}

// Change is a change of a target's limit as one node knows it.
type Change struct {
	Target Target
	Before float64 // requests per second, Unlimited for none
	After  float64 // requests per second, Unlimited for none
	Own    bool    // learned from an answer to this node
}

// LimitView is one target's limit for the state dump.
type LimitView struct {
	Target Target
	Limit  float64        // requests per second from all nodes, Unlimited for none
	Age    sardine.Millis // of the newest answer that showed it
	Rate   float64        // of this node, in requests per second
	Level  float64        // requests that may be sent at once
	Shared bool           // the rate is the leader's share
}

// Table holds the limits that one entry node knows, and spends its shares of
// them. It is not safe for concurrent use.
type Table struct {
	node       sardine.NodeID
	nodes      []sardine.NodeID // of the site
	entries    map[Target]*entry
	services   map[Target]sardine.ServiceName // current targets, nil if unknown
	demands    map[sardine.ServiceName]*demand
	restricted int // entries that restrict requests
	lastReport sardine.Millis
	lastSent   sardine.Millis // last report that was not empty
	changes    []Change
}

// NewTable returns the table of an entry node, without limits.
func NewTable(node sardine.NodeID) *Table {
	return &Table{
		node:    node,
		nodes:   []sardine.NodeID{node},
		entries: make(map[Target]*entry),
		demands: make(map[sardine.ServiceName]*demand),
	}
}

// SetNodes sets the entry nodes of the site.
func (t *Table) SetNodes(now sardine.Millis, nodes []sardine.NodeID) {
	if slices.Equal(t.nodes, nodes) {
		return
	}
	t.nodes = slices.Clone(nodes)
	for target, e := range t.entries {
		e.position = rank(target.VM, t.node, t.nodes)
		t.refresh(now, e)
	}
}

// Observe records the head of an answer to a request sent at sentAt. A stated
// limit holds at once. Two answers without one remove it if the target ran their
// requests, the first of which was sent some time after the last answer with a
// limit to any node, and the second as long after the first.
func (t *Table) Observe(now, sentAt sardine.Millis, g Target, rate float64, stated, ran bool) {
	e := t.entries[g]
	switch {
	case stated:
		e = t.entry(now, g)
		t.learn(now, g, e, statement{limited: true, limit: rate, at: now}, true)
	case e == nil || !e.statement.limited || !ran:
	case sentAt < e.statement.at+e.statement.hold():
	case e.unstatedAt < e.statement.at:
		e.unstatedAt = now
	case sentAt >= e.unstatedAt+e.statement.hold():
		t.learn(now, g, e, statement{at: sentAt}, true)
	}
}

// entry returns the entry of a target and creates it if needed.
func (t *Table) entry(now sardine.Millis, g Target) *entry {
	if e := t.entries[g]; e != nil {
		return e
	}
	e := &entry{
		statement:  statement{at: never},
		unstatedAt: never,
		bucket:     bucket{at: now},
		position:   rank(g.VM, t.node, t.nodes),
	}
	t.entries[g] = e
	return e
}

// restricts reports whether requests have to wait for their turn.
func (e *entry) restricts() bool {
	return e.statement.limited || e.released > 0
}

// learn merges a statement about a target's limit.
func (t *Table) learn(now sardine.Millis, g Target, e *entry, s statement, own bool) {
	before := e.statement
	e.statement = before.merge(s)
	if before.limited && !e.statement.limited {
		e.releasedAt, e.released = now, max(e.bucket.rate, before.usable()/float64(len(t.nodes)))
	}
	if !before.limited && e.statement.limited {
		if e.released == 0 {
			t.restricted++
		}
		e.hasShare, e.released = false, 0
		e.bucket = bucket{at: now}
	}
	if before.value() != e.statement.value() {
		t.changes = append(t.changes, Change{Target: g, Before: before.value(), After: e.statement.value(), Own: own})
	}
	t.refresh(now, e)
}

// refresh fills a target's bucket and sets the rate that holds from now on.
func (t *Table) refresh(now sardine.Millis, e *entry) {
	if e.released > 0 && now >= e.releasedAt+releaseTime {
		e.released = 0
		t.restricted--
	}
	if e.hasShare && now > e.shareEnd && e.bucket.at < e.shareEnd {
		e.bucket.setRate(e.shareEnd, t.rate(e.shareEnd, e))
	}
	e.bucket.setRate(now, t.rate(now, e))
}

// rate returns this node's rate at a target: its share, or without a valid one
// an even part of the limit if it is one of the nodes that may use the target.
func (t *Table) rate(now sardine.Millis, e *entry) float64 {
	if !e.statement.limited {
		return e.released * math.Exp2(float64(now-e.releasedAt)/1000)
	}
	usable := e.statement.usable()
	shared := usable
	if e.hasShare {
		shared = e.shared * min(1, usable/e.sharedOf)
		if now < e.shareEnd {
			return shared
		}
	}
	nodes := eligible(e.statement.limit, len(t.nodes))
	if e.position >= nodes {
		return 0
	}
	return min(shared, usable/float64(nodes))
}

// Wait returns 0 if a request may be sent to a target, or an estimate of the
// time until one may be.
func (t *Table) Wait(now sardine.Millis, g Target) sardine.Millis {
	e := t.entries[g]
	if e == nil {
		return 0
	}
	t.refresh(now, e)
	if !e.restricts() {
		return 0
	}
	return e.bucket.wait()
}

// Take records that a request is sent to a target.
func (t *Table) Take(now sardine.Millis, g Target) {
	t.spend(now, g, 1)
}

// Return takes back a request that was not sent after all.
func (t *Table) Return(now sardine.Millis, g Target) {
	t.spend(now, g, -1)
}

func (t *Table) spend(now sardine.Millis, g Target, n float64) {
	e := t.entries[g]
	if e == nil {
		return
	}
	t.refresh(now, e)
	e.bucket.take(n)
}

// Empty reports whether requests may be sent to all targets at any time.
func (t *Table) Empty() bool {
	return t.restricted == 0
}

// Retain sets the current targets with their deployments. The limits of all
// others are forgotten.
func (t *Table) Retain(current map[Target]sardine.ServiceName) {
	t.services = maps.Clone(current)
	for g := range t.entries {
		if _, known := current[g]; !known {
			t.drop(g)
		}
	}
}

func (t *Table) drop(g Target) {
	if t.entries[g].restricts() {
		t.restricted--
	}
	delete(t.entries, g)
}

// CountDemand records that a request of a deployment has arrived.
func (t *Table) CountDemand(_ sardine.Millis, service sardine.ServiceName) {
	d := t.demands[service]
	if d == nil {
		d = &demand{}
		t.demands[service] = d
	}
	d.count++
}

// Report returns the node's report to the allocator.
func (t *Table) Report(now sardine.Millis) Report {
	t.updateDemands(now)
	var r Report
	for service, d := range t.demands {
		r.Demands = append(r.Demands, Demand{Service: service, Rate: d.rate})
	}
	slices.SortFunc(r.Demands, func(a, b Demand) int { return cmp.Compare(a.Service, b.Service) })
	for g, e := range t.entries {
		t.refresh(now, e)
		if !e.restricts() && now-e.statement.at > removalRetention {
			t.drop(g)
			continue
		}
		r.Limits = append(r.Limits, KnownLimit{
			Target:  g,
			Service: t.services[g],
			Limit:   e.statement.limit,
			Stated:  e.statement.limited,
			Age:     max(now-e.statement.at, 0),
		})
	}
	slices.SortFunc(r.Limits, func(a, b KnownLimit) int { return a.Target.compare(b.Target) })
	r.due = now >= t.lastSent+idleReportInterval
	if !r.Empty() {
		t.lastSent = now
	}
	return r
}

func (t *Table) updateDemands(now sardine.Millis) {
	seconds := float64(max(now-t.lastReport, 1)) / 1000
	t.lastReport = now
	gain := 1 - math.Exp(-seconds/demandSeconds)
	for service, d := range t.demands {
		d.rate += gain * (d.count/seconds - d.rate)
		d.count = 0
		if d.rate < minDemand {
			delete(t.demands, service)
		}
	}
}

// Apply applies the shares that answer a report sent at askedAt.
func (t *Table) Apply(now, askedAt sardine.Millis, shares []Share) {
	for _, s := range shares {
		e := t.entries[s.Target]
		if e == nil {
			if _, known := t.services[s.Target]; !s.Stated || t.services != nil && !known {
				continue
			}
			e = t.entry(now, s.Target)
		}
		t.learn(now, s.Target, e, statement{limited: s.Stated, limit: s.Limit, at: askedAt - s.Age}, false)
		if !s.Stated || !e.statement.limited || askedAt+ShareTerm < e.shareEnd {
			continue
		}
		t.refresh(now, e)
		e.hasShare, e.shared, e.sharedOf, e.shareEnd = true, s.Rate, usableRate(s.Limit), askedAt+ShareTerm
		t.refresh(now, e)
	}
}

// Changes returns the changes of limits since the last call.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// View returns all known limits for the state dump.
func (t *Table) View(now sardine.Millis) []LimitView {
	views := make([]LimitView, 0, len(t.entries))
	for g, e := range t.entries {
		t.refresh(now, e)
		views = append(views, LimitView{
			Target: g,
			Limit:  e.statement.value(),
			Age:    max(now-e.statement.at, 0),
			Rate:   e.bucket.rate,
			Level:  e.bucket.level,
			Shared: e.hasShare && now < e.shareEnd,
		})
	}
	slices.SortFunc(views, func(a, b LimitView) int { return a.Target.compare(b.Target) })
	return views
}

func (g Target) compare(other Target) int {
	return cmp.Or(cmp.Compare(g.VM, other.VM), cmp.Compare(g.Incarnation, other.Incarnation))
}
