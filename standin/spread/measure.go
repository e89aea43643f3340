package spread

import (
	"fmt"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

const (
	// changeTimeout ends a measurement whose change is not accepted.
	changeTimeout = 60 * sardine.Second
	// reportInterval is the time between the full target reports of an entry
	// node.
	reportInterval = 300 * sardine.Second
)

// ChangeTimes holds the times that one change took, on the driver's clock.
type ChangeTimes struct {
	Accepted      sardine.Millis // from its first submission to the reply
	InForce       sardine.Millis // from its first submission until the last live node serves it
	SinceElection sardine.Millis // from the beginning of a new leader's term to the reply, 0 without a new leader
	Resends       int
}

// Change makes the first operator submit a change and runs until it is
// accepted. The error says that the change lost a race, that it was not
// accepted in time, or which invariants were violated.
func (w *World) Change() (ChangeTimes, error) {
	o := w.operators[0]
	start, last := w.driver.Now(), w.driver.Now()
	w.driver.After(o.id, 0, func(now sardine.Millis) {
		o.now = now
		o.begin()
		o.send()
	})
	before := len(w.History)
	w.onPublish = func(n *node) { last = w.lastPublish(n, before, last) }
	defer func() { w.onPublish = nil }()
	for w.driver.Now() < start+changeTimeout && len(w.Violations) == 0 {
		w.driver.Step()
		if len(w.History) > before && w.History[before].Return > 0 {
			op := w.History[before]
			if !op.Accepted {
				return ChangeTimes{}, fmt.Errorf("the change lost the race to version %d", op.Version)
			}
			times := ChangeTimes{Accepted: op.Return - start, InForce: last - start, Resends: op.Resends}
			if w.termBegunAt >= start {
				times.SinceElection = op.Return - w.termBegunAt
			}
			return times, nil
		}
	}
	return ChangeTimes{}, fmt.Errorf("the change was not accepted within %d ms: %v", changeTimeout, w.Violations)
}

// lastPublish returns the present instant if the node has just begun to serve
// the change, and last otherwise.
func (w *World) lastPublish(n *node, op int, last sardine.Millis) sardine.Millis {
	if op >= len(w.History) {
		return last
	}
	change := w.History[op]
	if n.view.teams[change.Team].version == change.Base+1 && n.measuredChange != change.ID {
		n.measuredChange = change.ID
		return w.driver.Now()
	}
	return last
}

// Pause pauses a random entry node.
func (w *World) Pause(length sardine.Millis) {
	w.driver.Pause(w.nodes[w.random().IntN(len(w.nodes))].id, length)
}

// CutCentre disconnects a data centre other than that of the leader from all
// others for a time.
func (w *World) CutCentre(length sardine.Millis) {
	centre := (w.centreOf[w.Leader()] + 1) % len(w.options.Centres)
	for a, from := range w.centreOf {
		for b, to := range w.centreOf {
			if (from == centre) != (to == centre) {
				w.driver.Cut(a, b, length)
			}
		}
	}
}

// CrashLeader crashes the leader and restarts it after a time.
func (w *World) CrashLeader(length sardine.Millis) {
	leader := w.Leader()
	w.driver.Crash(leader)
	w.driver.At(length, func(sardine.Millis) { w.driver.Restart(leader) })
}

// WithoutLease returns the number of entry nodes without a valid serving lease.
func (w *World) WithoutLease() int {
	lapsed := 0
	for _, n := range w.nodes {
		if !n.view.lease.Serving(w.driver.Local(n.id)) {
			lapsed++
		}
	}
	return lapsed
}

// CountServingAfter counts, after a time, the entry nodes that would admit a request of
// the first team. The returned number is set then.
func (w *World) CountServingAfter(after sardine.Millis) *int {
	serving := new(int)
	w.driver.At(after, func(sardine.Millis) {
		for _, n := range w.nodes {
			s := n.view.teams[w.teams[0]]
			if n.view.lease.ServingTeam(w.driver.Local(n.id), s.policy) {
				*serving++
			}
		}
	})
	return serving
}

// Populate registers the targets and assigns them to groups of a size.
func (w *World) Populate(size int) {
	leader := w.control(w.Leader())
	for i := range w.options.Targets {
		leader.w.log.append(leader.term, leader.wallTime(), state.TargetUp{Target: simulatedTarget(i)})
	}
	for first := 0; first+size <= w.options.Targets; first += size {
		g := sardine.Group{ID: sardine.GroupID(fmt.Sprintf("surtitles-%d", first)), Team: "team1", Service: "surtitles", Model: "twi-cues", Version: "3", Domain: "rack-12"}
		for rank := range size {
			t := simulatedTarget(first + rank)
			g.Members = append(g.Members, sardine.Member{VM: t.VM, Incarnation: t.Incarnation, Rank: rank, Address: t.Address})
		}
		leader.w.log.append(leader.term, leader.wallTime(), state.AssignGroup{Group: g})
	}
	w.RunFor(5 * sardine.Second)
}

// simulatedTarget returns the registration of a target.
func simulatedTarget(i int) state.Target {
	return state.Target{
		VM:           sardine.VMID(fmt.Sprintf("worker-%03d", i)),
		Incarnation:  1,
		Kind:         sardine.KindEngine,
		Address:      fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		DataCentre:   "osu",
		Domain:       "rack-12",
		Accelerators: 4,
		Loadable:     []sardine.ModelName{"twi-cues", "ga-cues"},
		ChecksEpoch:  true,
	}
}

func (w *World) control(id sardine.NodeID) *control {
	for _, c := range w.controls {
		if c.id == id {
			return c
		}
	}
	return nil
}

// report queues a node's full report of the targets that announce themselves to
// it. Each target announces itself to two nodes.
func (n *node) report() {
	r := follow.TargetReport{Home: n.name, Incarnation: n.incarnation, Full: true}
	for i, other := range n.w.nodes {
		if other != n {
			continue
		}
		for t := i; t < 2*n.w.options.Targets; t += len(n.w.nodes) {
			r.Targets = append(r.Targets, follow.TargetStatus{
				Target:       simulatedTarget(t / 2),
				CurrentOrder: sardine.CurrentOrder{Group: "surtitles-0", Epoch: 9, State: sardine.MemberReady, Model: "twi-cues", Version: "3"},
				Load:         sardine.Load{Running: 3, Queued: 1, TokensPerSecond: 1400},
			})
		}
	}
	n.follower.Report(r)
}

// Role is the place of a node in the tree of control nodes, relays and entry
// nodes.
type Role string

// Roles of nodes.
const (
	RoleLeader  Role = "control leader"
	RoleControl Role = "control follower"
	RoleRoot    Role = "root relay"
	RoleRelay   Role = "relay"
	RoleEntry   Role = "entry"
)

// Cost is the cost of the nodes of one role, per node and second.
type Cost struct {
	Role     Role
	Nodes    int
	Messages float64 // sent and received polls and replies
	Bytes    float64 // of their bodies
	Micros   float64 // processor time, codecs included
}

// MeasureCosts runs for a time and returns, for each role, the mean cost and the
// highest value of each cost at any of its nodes.
func (w *World) MeasureCosts(d sardine.Millis) (mean, most []Cost) {
	clear(w.traffic)
	clear(w.costs)
	w.RunFor(d)
	seconds := float64(d) / float64(sardine.Second)
	sums, maxima := make(map[Role]*Cost), make(map[Role]*Cost)
	for id := range w.centreOf {
		role := w.role(id)
		if sums[role] == nil {
			sums[role], maxima[role] = &Cost{Role: role}, &Cost{Role: role}
		}
		var t Traffic
		if w.traffic[id] != nil {
			t = *w.traffic[id]
		}
		one := Cost{
			Messages: float64(t.Messages) / seconds,
			Bytes:    float64(t.Bytes) / seconds,
			Micros:   float64(w.costs[id]) / float64(time.Microsecond) / seconds,
		}
		sums[role].add(one)
		maxima[role].raiseTo(one)
	}
	for _, role := range []Role{RoleLeader, RoleControl, RoleRoot, RoleRelay, RoleEntry} {
		if sum := sums[role]; sum != nil {
			mean = append(mean, sum.mean())
			most = append(most, *maxima[role])
		}
	}
	return mean, most
}

func (c *Cost) add(one Cost) {
	c.Nodes++
	c.Messages += one.Messages
	c.Bytes += one.Bytes
	c.Micros += one.Micros
}

// raiseTo raises each cost to that of another node if it is higher.
func (c *Cost) raiseTo(one Cost) {
	c.Nodes++
	c.Messages = max(c.Messages, one.Messages)
	c.Bytes = max(c.Bytes, one.Bytes)
	c.Micros = max(c.Micros, one.Micros)
}

func (c *Cost) mean() Cost {
	n := float64(c.Nodes)
	return Cost{Role: c.Role, Nodes: c.Nodes, Messages: c.Messages / n, Bytes: c.Bytes / n, Micros: c.Micros / n}
}

func (w *World) role(id sardine.NodeID) Role {
	if w.control(id) != nil {
		if id == w.Leader() {
			return RoleLeader
		}
		return RoleControl
	}
	for _, n := range w.nodes {
		if n.id != id {
			continue
		}
		children := len(n.follower.Relay().Followers())
		switch {
		case children == 0:
			return RoleEntry
		case n.follower.ThroughRelay():
			return RoleRelay
		default:
			return RoleRoot
		}
	}
	return RoleEntry
}

// Snapshots returns the leader's snapshot and the snapshot that is sent to
// entry nodes.
func (w *World) Snapshots() (whole, followed []byte, err error) {
	m := w.control(w.Leader()).machine
	if whole, err = m.Snapshot(); err != nil {
		return nil, nil, err
	}
	followed, err = m.EntrySnapshot()
	return whole, followed, err
}
