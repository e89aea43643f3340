package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

const (
	// settleTime is how long a new allocator only collects reports.
	settleTime = 1 * sardine.Second
	// nodeTerm is the age up to which a node's report counts.
	nodeTerm = 3 * sardine.Second
	// targetTerm is how long a target is kept that no node reports.
	targetTerm = 5 * sardine.Second
	// evenShare is the part of the mean demand that is added to each node's
	// demand.
	evenShare = 0.15
	// memberBonus is the factor to the weight of a node that may use a target
	// already, in the choice of those that may.
	memberBonus = 1.5
)

// nodeReport is a node's demand.
type nodeReport struct {
	at      sardine.Millis // when it was made
	demands map[sardine.ServiceName]float64
}

// targetLimit is what the nodes know of one target's limit, and their shares.
type targetLimit struct {
	statement statement
	service   sardine.ServiceName
	seenAt    sardine.Millis             // last report that contained the target
	rates     map[sardine.NodeID]float64 // of the nodes that may use the target
}

// Allocator divides the targets' limits among the entry nodes by their demand.
// It is not safe for concurrent use.
type Allocator struct {
	startsAt sardine.Millis
	nodes    map[sardine.NodeID]nodeReport
	targets  map[Target]*targetLimit
}

// NewAllocator returns an allocator without any reports. It allocates nothing
// until all nodes have had the time to report.
func NewAllocator(now sardine.Millis) *Allocator {
	return &Allocator{
		startsAt: now + settleTime,
		nodes:    make(map[sardine.NodeID]nodeReport),
		targets:  make(map[Target]*targetLimit),
	}
}

// Report merges a node's report. A report that is older than the last one of
// the node is ignored.
func (a *Allocator) Report(now sardine.Millis, node sardine.NodeID, r Report) {
	at := now - r.Age
	if last, known := a.nodes[node]; known && at < last.at {
		return
	}
	demands := make(map[sardine.ServiceName]float64, len(r.Demands))
	for _, d := range r.Demands {
		demands[d.Service] = d.Rate
	}
	a.nodes[node] = nodeReport{at: at, demands: demands}
	for _, l := range r.Limits {
		a.merge(now, at, l)
	}
}

func (a *Allocator) merge(now, at sardine.Millis, l KnownLimit) {
	s := statement{limited: l.Stated, limit: l.Limit, at: at - l.Age}
	t := a.targets[l.Target]
	if t == nil {
		t = &targetLimit{statement: s}
		a.targets[l.Target] = t
	}
	t.statement = t.statement.merge(s)
	t.seenAt = now
	if l.Service != "" {
		t.service = l.Service
	}
}

// Allocations returns the limits of all targets with the shares of the nodes,
// which are the entry nodes of the site.
func (a *Allocator) Allocations(now sardine.Millis, nodes []sardine.NodeID) []Allocation {
	if now < a.startsAt {
		return nil
	}
	a.update(now, nodes)
	all := make([]Allocation, 0, len(a.targets))
	for g, t := range a.targets {
		all = append(all, Allocation{
			Target: g,
			Limit:  t.statement.limit,
			Stated: t.statement.limited,
			Age:    max(now-t.statement.at, 0),
			Rates:  t.rates,
		})
	}
	slices.SortFunc(all, func(x, y Allocation) int { return x.Target.compare(y.Target) })
	return all
}

// Shares returns the shares of one node.
func (a *Allocator) Shares(now sardine.Millis, node sardine.NodeID, nodes []sardine.NodeID) []Share {
	allocations := a.Allocations(now, nodes)
	shares := make([]Share, 0, len(allocations))
	for _, x := range allocations {
		shares = append(shares, x.ShareOf(node, 0))
	}
	return shares
}

// update calculates all shares.
func (a *Allocator) update(now sardine.Millis, nodes []sardine.NodeID) {
	maps.DeleteFunc(a.nodes, func(_ sardine.NodeID, r nodeReport) bool { return r.at+nodeTerm <= now })
	maps.DeleteFunc(a.targets, func(_ Target, t *targetLimit) bool { return t.seenAt+targetTerm <= now })
	var active []sardine.NodeID
	for _, node := range nodes {
		if _, known := a.nodes[node]; known {
			active = append(active, node)
		}
	}
	slices.Sort(active)
	for g, t := range a.targets {
		if !t.statement.limited {
			t.rates = nil
			continue
		}
		weights := a.weights(t.service, active)
		t.rates = divide(t.statement.usable(), t.members(g.VM, active, weights), weights)
	}
}

// weights returns the nodes' weights by their demand of a deployment.
func (a *Allocator) weights(service sardine.ServiceName, nodes []sardine.NodeID) map[sardine.NodeID]float64 {
	total := 0.0
	for _, node := range nodes {
		total += a.nodes[node].demands[service]
	}
	weights := make(map[sardine.NodeID]float64, len(nodes))
	for _, node := range nodes {
		weights[node] = 1
		if total > 0 {
			weights[node] = a.nodes[node].demands[service] + evenShare*total/float64(len(nodes))
		}
	}
	return weights
}

// members returns the nodes that may use a target: the first ones of its
// rendezvous order weighted by demand.
func (t *targetLimit) members(vm sardine.VMID, nodes []sardine.NodeID, weights map[sardine.NodeID]float64) []sardine.NodeID {
	count := eligible(t.statement.limit, len(nodes))
	if count == len(nodes) {
		return nodes
	}
	scores := make(map[sardine.NodeID]float64, len(nodes))
	for _, node := range nodes {
		scores[node] = weights[node] / -math.Log(score(vm, node))
		if t.rates[node] > 0 {
			scores[node] *= memberBonus
		}
	}
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(x, y sardine.NodeID) int {
		return cmp.Or(cmp.Compare(scores[y], scores[x]), cmp.Compare(x, y))
	})
	return ranked[:count]
}

// divide divides a rate among the members by weight.
func divide(rate float64, members []sardine.NodeID, weights map[sardine.NodeID]float64) map[sardine.NodeID]float64 {
	total := 0.0
	for _, node := range members {
		total += weights[node]
	}
	rates := make(map[sardine.NodeID]float64, len(members))
	for _, node := range members {
		rates[node] = rate * weights[node] / total
	}
	return rates
}
