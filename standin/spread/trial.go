package spread

import (
	"fmt"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

const (
	// trialLimit ends a trial whose change is not accepted.
	trialLimit = 60 * sardine.Second
	// reportPause is the time between the full target reports of a node.
	reportPause = 300 * sardine.Second
)

// ChangeTimes is one change and how long it took, on the driver's clock.
type ChangeTimes struct {
	Accepted      sardine.Millis // from its first submission to the answer
	InForce       sardine.Millis // from its first submission to the last live node
	SinceElection sardine.Millis // from the start of a new leader's term to the answer, 0 if none
	Resends       int
}

// Change makes the first operator submit a change and runs until it is answered.
// The error says that it was not accepted in time, or what was breached.
func (w *World) Change() (ChangeTimes, error) {
	o := w.operators[0]
	start, last := w.driver.Now(), w.driver.Now()
	w.driver.After(o.id, 0, func(now sardine.Millis) {
		o.now = now
		o.begin()
		o.send()
	})
	before := len(w.History)
	w.onPublish = func(n *node) { last = w.published(n, before, last) }
	defer func() { w.onPublish = nil }()
	for w.driver.Now() < start+trialLimit && len(w.Violations) == 0 {
		w.driver.Step()
		if len(w.History) > before && w.History[before].Return > 0 {
			op := w.History[before]
			if !op.Accepted {
				return ChangeTimes{}, fmt.Errorf("the change lost to version %d", op.Version)
			}
			trial := ChangeTimes{Accepted: op.Return - start, InForce: last - start, Resends: op.Resends}
			if w.ledAt >= start {
				trial.SinceElection = op.Return - w.ledAt
			}
			return trial, nil
		}
	}
	return ChangeTimes{}, fmt.Errorf("not accepted within %d ms: %v", trialLimit, w.Violations)
}

// published returns the instant at which the node began to serve the change, if
// it is the last one so far.
func (w *World) published(n *node, op int, last sardine.Millis) sardine.Millis {
	if op >= len(w.History) {
		return last
	}
	change := w.History[op]
	if n.view.teams[change.Team].version == change.Base+1 && n.fresh != change.ID {
		n.fresh = change.ID
		return w.driver.Now()
	}
	return last
}

// Pause holds a random entry node up.
func (w *World) Pause(length sardine.Millis) {
	w.driver.Pause(w.nodes[w.random().IntN(len(w.nodes))].id, length)
}

// CutCentre cuts a data centre off from all others for a time. The leader is not
// in it.
func (w *World) CutCentre(length sardine.Millis) {
	centre := (w.places[w.Leader()] + 1) % len(w.options.Centres)
	for a, from := range w.places {
		for b, to := range w.places {
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

// WithoutLease returns the number of entry nodes that hold no serving lease.
func (w *World) WithoutLease() int {
	lapsed := 0
	for _, n := range w.nodes {
		if !n.view.lease.Serving(w.driver.Local(n.id)) {
			lapsed++
		}
	}
	return lapsed
}

// CountServingAfter counts, after a time, the entry nodes that would admit a request of the
// operator's team, into the returned number.
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

// Populate registers the targets and puts them in groups of a size.
func (w *World) Populate(size int) {
	leader := w.control(w.Leader())
	for i := range w.options.Targets {
		leader.w.board.append(leader.term, leader.stamp(), state.TargetUp{Target: worker(i)})
	}
	for first := 0; first+size <= w.options.Targets; first += size {
		g := sardine.Group{ID: sardine.GroupID(fmt.Sprintf("surtitles-%d", first)), Team: "team1", Service: "surtitles", Model: "twi-cues", Version: "3", Domain: "rack-12"}
		for rank := range size {
			t := worker(first + rank)
			g.Members = append(g.Members, sardine.Member{VM: t.VM, Incarnation: t.Incarnation, Rank: rank, Address: t.Address})
		}
		leader.w.board.append(leader.term, leader.stamp(), state.AssignGroup{Group: g})
	}
	w.RunFor(5 * sardine.Second)
}

func worker(i int) state.Target {
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

// report queues a node's full report of the targets it is home to: each target
// announces itself to two nodes.
func (n *node) report() {
	r := follow.TargetReport{Home: n.name, Incarnation: n.incarnation, Full: true}
	for i, other := range n.w.nodes {
		if other != n {
			continue
		}
		for t := i; t < 2*n.w.options.Targets; t += len(n.w.nodes) {
			r.Targets = append(r.Targets, follow.TargetStatus{
				Target:       worker(t / 2),
				CurrentOrder: sardine.CurrentOrder{Group: "surtitles-0", Epoch: 9, State: sardine.MemberReady, Model: "twi-cues", Version: "3"},
				Load:         sardine.Load{Running: 3, Queued: 1, TokensPerSecond: 1400},
			})
		}
	}
	n.follower.Report(r)
}

// Role tells the places of nodes in the tree apart.
type Role string

// The roles.
const (
	RoleLeader  Role = "control leader"
	RoleControl Role = "control follower"
	RoleRoot    Role = "root relay"
	RoleRelay   Role = "relay"
	RoleEntry   Role = "entry"
)

// Cost is what the nodes of one role spent over a time, per node and second.
type Cost struct {
	Role     Role
	Nodes    int
	Messages float64 // sent and received polls and answers
	Bytes    float64 // of their bodies
	Micros   float64 // processor time of cores and codecs
}

// MeasureCosts runs for a time and returns the mean cost of each role, and of each
// role's dearest node.
func (w *World) MeasureCosts(d sardine.Millis) (mean, most []Cost) {
	clear(w.traffic)
	clear(w.costs)
	w.RunFor(d)
	seconds := float64(d) / float64(sardine.Second)
	sums, tops := make(map[Role]*Cost), make(map[Role]*Cost)
	for id := range w.places {
		role := w.role(id)
		if sums[role] == nil {
			sums[role], tops[role] = &Cost{Role: role}, &Cost{Role: role}
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
		tops[role].raise(one)
	}
	for _, role := range []Role{RoleLeader, RoleControl, RoleRoot, RoleRelay, RoleEntry} {
		if sum := sums[role]; sum != nil {
			mean = append(mean, sum.mean())
			most = append(most, *tops[role])
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

func (c *Cost) raise(one Cost) {
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

// Snapshots returns the leader's whole snapshot and the part that spreads.
func (w *World) Snapshots() (whole, followed []byte, err error) {
	m := w.control(w.Leader()).machine
	if whole, err = m.Snapshot(); err != nil {
		return nil, nil, err
	}
	followed, err = m.EntrySnapshot()
	return whole, followed, err
}
