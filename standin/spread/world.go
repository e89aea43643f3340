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

// Options describe a simulated site.
type Options struct {
	Seed         uint64
	Controls     int
	Centres      []int // entry nodes of each data centre
	Operators    int
	Teams        int
	Faults       drive.Faults
	HoldChanges  bool           // some changes set the cut policy hold_changes
	HoldingLease sardine.Millis // length of the holding lease, 0 for the default
	Follow       follow.Defect
	Lease        lease.Defect
	// PollHold and ServingLease are the hold time of polls and the length of the
	// serving lease, 0 for the defaults.
	PollHold, ServingLease sardine.Millis
	// LoseChangeIDs leaves the change ids out of snapshots.
	LoseChangeIDs bool
	// Latency returns the one-way latency between two data centres, counted from
	// 0.
	Latency func(from, to int) sardine.Millis
	// Policy is the cut policy of the manual changes, empty for the default.
	Policy string
	// Manual keeps the operators idle until Change is called.
	Manual bool
	// Filler is the number of bytes of filler in a document.
	Filler int
	// Targets is the number of targets, which the entry nodes report.
	Targets int
	// NoRandomDelays switches off the random delays of publishing and admitting, for
	// measurements.
	NoRandomDelays bool
	// PollCost is the processor time that a control node spends on one poll. It
	// processes polls one after the other.
	PollCost sardine.Millis
}

// World is a simulated site.
type World struct {
	options          Options
	driver           *drive.Driver[Message]
	log              sharedLog
	controls         []*control
	controlIDs       []sardine.NodeID
	nodes            []*node
	operators        []*operator
	teams            []sardine.Team
	policies         map[string]sardine.CutPolicy
	acceptedVersions map[sardine.Team]sardine.Version
	traffic          map[sardine.NodeID]*Traffic
	centreOf         map[sardine.NodeID]int // data centre of each node, from 0
	costs            map[sardine.NodeID]time.Duration
	termBegunAt      sardine.Millis         // when the last leader's term began
	controlPolls     map[sardine.NodeID]int // polls of each entry node at control nodes

	// History holds all operations of the operators.
	History []*Operation
	// Violations holds the invariant violations.
	Violations []string
	// Admitted and Refused count the attempts to admit a request at entry
	// nodes, by whether the node had a valid serving lease.
	Admitted, Refused int
	onPublish         func(*node)
}

// Traffic counts what one node sent and received.
type Traffic struct {
	Messages int
	Bytes    int // of the encoded bodies, both directions
}

// New returns a site whose nodes have been added to the driver.
func New(o Options) *World {
	w := &World{
		options:          o,
		driver:           drive.New[Message](o.Seed, o.Faults),
		policies:         make(map[string]sardine.CutPolicy),
		acceptedVersions: make(map[sardine.Team]sardine.Version),
		traffic:          make(map[sardine.NodeID]*Traffic),
		centreOf:         make(map[sardine.NodeID]int),
		costs:            make(map[sardine.NodeID]time.Duration),
		controlPolls:     make(map[sardine.NodeID]int),
	}
	if o.Latency != nil {
		w.driver.SetLinks(func(from, to sardine.NodeID) sardine.Millis { return o.Latency(w.centreOf[from], w.centreOf[to]) })
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
		w.centreOf[id] = (len(w.controls) - 1) % len(o.Centres)
		w.driver.Add(id, &timedActor{w: w, id: id, actor: c})
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
			w.centreOf[n.id] = centre
			w.nodes = append(w.nodes, n)
			w.driver.Add(n.id, &timedActor{w: w, id: n.id, actor: n})
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

// Run runs a number of steps. It stops at the first invariant violation.
func (w *World) Run(steps int) {
	for range steps {
		if len(w.Violations) > 0 || !w.driver.Step() {
			return
		}
	}
}

// RunFor runs for a time. It stops at the first invariant violation.
func (w *World) RunFor(d sardine.Millis) {
	end := w.driver.Now() + d
	for w.driver.Now() < end && len(w.Violations) == 0 && w.driver.Step() {
	}
}

func (w *World) random() *rand.Rand {
	return w.driver.Random()
}

func (w *World) addViolation(format string, args ...any) {
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

func (w *World) followTiming() follow.Timing {
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

// recordAccepted records that an operator receives a version as in force, and
// checks that no entry node would serve by an older one. This includes paused
// and cut off nodes.
func (w *World) recordAccepted(name sardine.Team, version sardine.Version) {
	w.acceptedVersions[name] = max(w.acceptedVersions[name], version)
	for _, n := range w.nodes {
		w.checkServed(n)
	}
}

// admit attempts to admit a request at a node and checks what it serves.
func (w *World) admit(n *node) {
	if n.view.lease.Serving(n.now) {
		w.Admitted++
	} else {
		w.Refused++
	}
	w.checkServed(n)
}

// checkServed checks that a node serves no team by an older version than the
// accepted one.
func (w *World) checkServed(n *node) {
	if name, stale := n.staleTeam(w.driver.Local(n.id), w.acceptedVersions); stale {
		w.addViolation("entry node %s serves team %s by version %d, %d is accepted", n.id, name, n.view.teams[name].version, w.acceptedVersions[name])
	}
}

func (w *World) nodePublished(n *node) {
	if w.onPublish != nil {
		w.onPublish(n)
	}
}

func (w *World) termBegun() {
	w.termBegunAt = w.driver.Now()
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

func (w *World) admitInterval() sardine.Millis {
	if w.options.NoRandomDelays {
		return sardine.Second
	}
	return sardine.Millis(10 + w.random().IntN(60))
}

// policy returns the cut policy that a document sets.
func (w *World) policy(document string) sardine.CutPolicy {
	if p, known := w.policies[document]; known {
		return p
	}
	s, err := team.Parse("any", document)
	if err != nil {
		w.addViolation("a document in the log is not valid: %v", err)
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
		for name, version := range w.acceptedVersions {
			if n.view.teams[name].version < version {
				return false
			}
		}
	}
	return true
}

// Leader returns the leader of the newest term, empty if there is none.
func (w *World) Leader() sardine.NodeID {
	for _, c := range w.controls {
		if c.ready && c.term == w.log.term {
			return c.id
		}
	}
	return ""
}
