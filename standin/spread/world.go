package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/team"
)

// Options sets up a world.
type Options struct {
	Seed         uint64
	Controls     int
	Centres      []int // entry nodes of each data centre
	Operators    int
	Teams        int
	Faults       drive.Faults
	HoldChanges  bool           // some changes choose hold_changes
	HoldingLease sardine.Millis // length of the holding lease, 0 for the default
	Follow       follow.Defect
	Lease        lease.Defect
	// PollHold and Serving are the hold time of polls and the serving lease, 0
	// for the defaults.
	PollHold, ServingLease sardine.Millis
	// LoseChangeIDs leaves the change ids out of snapshots.
	LoseChangeIDs bool
	// Latency returns the one-way time between two data centres, counted from 0.
	Latency func(from, to int) sardine.Millis
	// Policy is the cut policy of the manual changes, empty for the default.
	Policy string
	// Manual keeps the operators idle until they are told to change something.
	Manual bool
	// Filler is the size in bytes that documents are filled up to.
	Filler int
	// Targets is the number of targets, reported by the entry nodes.
	Targets int
	// NoRandomDelays switches off the random publish delays, for measurements.
	NoRandomDelays bool
	// PollCost is the processor time that a control node spends on one poll; polls
	// wait for one another.
	PollCost sardine.Millis
}

// World is a site under simulation.
type World struct {
	options    Options
	driver     *drive.Driver[Message]
	board      board
	controls   []*control
	controlIDs []sardine.NodeID
	nodes      []*node
	operators  []*operator
	teams      []sardine.Team
	policies   map[string]sardine.CutPolicy
	maxima     map[sardine.Team]sardine.Version
	traffic    map[sardine.NodeID]*Traffic
	places     map[sardine.NodeID]int // data centre of each node, from 0
	costs      map[sardine.NodeID]time.Duration
	ledAt      sardine.Millis         // last start of a leader's term
	askers     map[sardine.NodeID]int // polls of each entry node at control nodes

	// History is every operation of the operators.
	History []*Operation
	// Violations are the invariants found broken.
	Violations []string
	// Admitted and Refused count the requests that entry nodes were asked to
	// admit.
	Admitted, Refused int
	onPublish         func(*node)
}

// Traffic counts what one node sent and received.
type Traffic struct {
	Messages int
	Bytes    int // of the encoded bodies, both directions
}

// New returns a running world.
func New(o Options) *World {
	w := &World{
		options:  o,
		driver:   drive.New[Message](o.Seed, o.Faults),
		policies: make(map[string]sardine.CutPolicy),
		maxima:   make(map[sardine.Team]sardine.Version),
		traffic:  make(map[sardine.NodeID]*Traffic),
		places:   make(map[sardine.NodeID]int),
		costs:    make(map[sardine.NodeID]time.Duration),
		askers:   make(map[sardine.NodeID]int),
	}
	if o.Latency != nil {
		w.driver.SetLinks(func(from, to sardine.NodeID) sardine.Millis { return o.Latency(w.places[from], w.places[to]) })
	}
	for i := range o.Teams {
		w.teams = append(w.teams, sardine.Team(fmt.Sprintf("team%d", i+1)))
	}
	for i := range o.Controls {
		w.controlIDs = append(w.controlIDs, sardine.NodeID(fmt.Sprintf("c%d", i+1)))
	}
	for _, id := range w.controlIDs {
		c := newControl(w, id)
		w.controls = append(w.controls, c)
		w.places[id] = (len(w.controls) - 1) % len(o.Centres)
		w.driver.Add(id, &timed{w: w, id: id, inner: c})
	}
	w.addNodes()
	for i := range o.Operators {
		op := &operator{id: sardine.NodeID(fmt.Sprintf("o%d", i+1)), client: i, w: w}
		w.operators = append(w.operators, op)
		w.driver.Add(op.id, op)
	}
	return w
}

func (w *World) addNodes() {
	for centre, count := range w.options.Centres {
		name := sardine.DataCentre(fmt.Sprintf("dc%d", centre+1))
		for i := range count {
			n := newNode(w, sardine.NodeID(fmt.Sprintf("e%d-%d", centre+1, i+1)), name)
			w.places[n.id] = centre
			w.nodes = append(w.nodes, n)
			w.driver.Add(n.id, &timed{w: w, id: n.id, inner: n})
		}
	}
}

// AddTwin starts a second process under a node's name, at another address and
// with a later incarnation.
func (w *World) AddTwin(of sardine.NodeID) {
	for _, n := range w.nodes {
		if n.id == of {
			twin := newNode(w, of+"-twin", n.centre)
			twin.name, twin.incarnation = n.name, 1000
			w.nodes = append(w.nodes, twin)
			w.driver.Add(twin.id, twin)
			return
		}
	}
}

// Run does a number of steps, but stops at the first breach.
func (w *World) Run(steps int) {
	for range steps {
		if len(w.Violations) > 0 || !w.driver.Step() {
			return
		}
	}
}

// RunFor lets virtual time pass.
func (w *World) RunFor(d sardine.Millis) {
	end := w.driver.Now() + d
	for w.driver.Now() < end && len(w.Violations) == 0 && w.driver.Step() {
	}
}

func (w *World) random() *rand.Rand {
	return w.driver.Random()
}

func (w *World) breach(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("at %d ms: ", w.driver.Now())+fmt.Sprintf(format, args...))
}

func (w *World) leaseOptions() []lease.Option {
	options := []lease.Option{lease.WithDefect(w.options.Lease)}
	if w.options.ServingLease > 0 {
		options = append(options, lease.WithServing(w.options.ServingLease))
	}
	if w.options.HoldingLease > 0 {
		options = append(options, lease.WithHolding(w.options.HoldingLease))
	}
	return options
}

func (w *World) timing() follow.Timing {
	t := follow.DefaultTiming()
	if w.options.PollHold > 0 {
		t.PollHold = w.options.PollHold
	}
	return t
}

func (w *World) controlNames() []string {
	names := make([]string, len(w.controlIDs))
	for i, id := range w.controlIDs {
		names[i] = string(id)
	}
	return names
}

// accepted notes that an operator is told that a version is in force, and checks
// that no entry node would serve by an older one, also a paused or cut off one.
func (w *World) accepted(name sardine.Team, version sardine.Version) {
	w.maxima[name] = max(w.maxima[name], version)
	for _, n := range w.nodes {
		w.checkServed(n)
	}
}

// admit asks a node to admit a request of each team.
func (w *World) admit(n *node) {
	if n.view.lease.Serving(n.now) {
		w.Admitted++
	} else {
		w.Refused++
	}
	w.checkServed(n)
}

func (w *World) checkServed(n *node) {
	if name, stale := n.stale(w.driver.Local(n.id), w.maxima); stale {
		w.breach("entry node %s serves team %s by version %d, %d is accepted", n.id, name, n.view.teams[name].version, w.maxima[name])
	}
}

func (w *World) inForceAt(n *node) {
	if w.onPublish != nil {
		w.onPublish(n)
	}
}

func (w *World) led() {
	w.ledAt = w.driver.Now()
}

func (w *World) publishDelay() sardine.Millis {
	if w.options.NoRandomDelays {
		return 0
	}
	if w.random().IntN(8) == 0 {
		return sardine.Millis(w.random().IntN(500))
	}
	return sardine.Millis(w.random().IntN(20))
}

func (w *World) admitPause() sardine.Millis {
	if w.options.NoRandomDelays {
		return sardine.Second
	}
	return sardine.Millis(10 + w.random().IntN(60))
}

// policy returns the cut policy of a document.
func (w *World) policy(document string) sardine.CutPolicy {
	if p, known := w.policies[document]; known {
		return p
	}
	s, err := team.Parse("any", document)
	if err != nil {
		w.breach("a document in the log is not valid: %v", err)
	}
	w.policies[document] = s.Cut
	return s.Cut
}

// Settle ends all faults and runs until every entry node serves by the newest
// settings, for at most the given time. It reports whether they all do.
func (w *World) Settle(limit sardine.Millis) bool {
	w.driver.StopFaults()
	end := w.driver.Now() + limit
	for w.driver.Now() < end && len(w.Violations) == 0 {
		w.RunFor(sardine.Second)
		if w.settled() {
			return true
		}
	}
	return false
}

func (w *World) settled() bool {
	for _, n := range w.nodes {
		if !n.view.lease.Serving(w.driver.Local(n.id)) {
			return false
		}
		for name, version := range w.maxima {
			if n.view.teams[name].version < version {
				return false
			}
		}
	}
	return true
}

// Leader returns the control node that leads the newest term, or an empty name.
func (w *World) Leader() sardine.NodeID {
	for _, c := range w.controls {
		if c.ready && c.term == w.board.term {
			return c.id
		}
	}
	return ""
}
