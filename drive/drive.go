package drive

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
)

// Actor is one node under test. All instants are on the node's own clock.
type Actor[M any] interface {
	// Start starts or restarts the node with what is on its disk.
	Start(now sardine.Millis)
	// Receive handles a message.
	Receive(now sardine.Millis, from sardine.NodeID, m M)
	// Tick handles the passage of time.
	Tick(now sardine.Millis)
	// Wake returns the instant of the next call of Tick.
	Wake() sardine.Millis
	// Crash stops the node: memory and unsynced writes are lost.
	Crash()
}

// Faults sets the simulated faults. Shares are between 0 and 1.
type Faults struct {
	Loss                float64        // share of messages lost
	Duplicate           float64        // share of messages delivered twice
	MaxDelay            sardine.Millis // maximum delay of an ordinary message
	Late                float64        // share of messages that are delayed up to 20 times as long
	MaxDrift            float64        // maximum relative error of a node's clock rate
	DisturbanceInterval sardine.Millis // mean time between disturbances, 0 for none
	MaxDisturbance      sardine.Millis // maximum duration of a disturbance
	Crashes             bool           // disturbances include crashes
	Pauses              bool           // disturbances include pauses
	Cuts                bool           // disturbances include cuts and partitions
}

// AllFaults returns settings with frequent faults of every kind.
func AllFaults() Faults {
	return Faults{
		Loss:                0.03,
		Duplicate:           0.03,
		MaxDelay:            30,
		Late:                0.05,
		MaxDrift:            0.01,
		DisturbanceInterval: 1500,
		MaxDisturbance:      4000,
		Crashes:             true,
		Pauses:              true,
		Cuts:                true,
	}
}

type direction struct {
	from, to sardine.NodeID
}

// node is the driver's state of an actor.
type node struct {
	id          sardine.NodeID
	up          bool
	paused      sardine.Millis // until when
	incarnation uint64
	timerID     uint64
	clockOffset sardine.Millis // the node's clock at the driver's time 0
	rate        float64
	startActor  func(now sardine.Millis)
	tickActor   func(now sardine.Millis)
	wakeTime    func() sardine.Millis
	crashActor  func()
}

func (n *node) local(now sardine.Millis) sardine.Millis {
	return n.clockOffset + sardine.Millis(float64(now)*n.rate)
}

// global returns the driver's first instant at which the node's clock shows at or
// later.
func (n *node) global(at sardine.Millis) sardine.Millis {
	g := sardine.Millis(float64(at-n.clockOffset) / n.rate)
	for n.local(g) < at {
		g++
	}
	return g
}

// Driver runs actors that exchange messages of type M.
type Driver[M any] struct {
	random   *rand.Rand
	faults   Faults
	now      sardine.Millis
	sequence uint64
	queue    queue
	nodes    []*node
	actors   map[sardine.NodeID]Actor[M]
	cuts     map[direction]sardine.Millis // until when
	steps    int
	link     func(from, to sardine.NodeID) sardine.Millis
}

// New returns a driver without actors.
func New[M any](seed uint64, f Faults) *Driver[M] {
	d := &Driver[M]{
		random: rand.New(rand.NewPCG(seed, 0x5a12d)),
		faults: f,
		actors: make(map[sardine.NodeID]Actor[M]),
		cuts:   make(map[direction]sardine.Millis),
	}
	d.scheduleDisturbance()
	return d
}

// Random returns the driver's random source, for random choices of the test.
func (d *Driver[M]) Random() *rand.Rand { return d.random }

// Now returns the driver's current time.
func (d *Driver[M]) Now() sardine.Millis { return d.now }

// Local returns the current time on a node's own clock.
func (d *Driver[M]) Local(id sardine.NodeID) sardine.Millis { return d.find(id).local(d.now) }

// Steps returns the number of events that nodes have handled.
func (d *Driver[M]) Steps() int { return d.steps }

// Up reports whether a node runs and is not paused.
func (d *Driver[M]) Up(id sardine.NodeID) bool {
	n := d.find(id)
	return n != nil && n.up && n.paused <= d.now
}

// Add adds a node with the actor a and starts it.
func (d *Driver[M]) Add(id sardine.NodeID, a Actor[M]) {
	n := &node{id: id, rate: 1 + d.faults.MaxDrift*(2*d.random.Float64()-1), clockOffset: sardine.Millis(d.random.IntN(100_000))}
	n.startActor, n.tickActor, n.wakeTime, n.crashActor = a.Start, a.Tick, a.Wake, a.Crash
	d.nodes = append(d.nodes, n)
	d.actors[id] = a
	d.Restart(id)
}

// Send delivers a message after a random delay, or loses it.
func (d *Driver[M]) Send(from, to sardine.NodeID, m M) {
	n := d.find(to)
	if n == nil || d.cuts[direction{from, to}] > d.now {
		return
	}
	copies := 1
	if d.random.Float64() < d.faults.Duplicate {
		copies = 2
	}
	for range copies {
		if d.random.Float64() < d.faults.Loss {
			continue
		}
		d.push(&event{at: d.now + d.delay() + d.linkTime(from, to), node: n, incarnation: n.incarnation, run: func(now sardine.Millis) {
			if n.up && d.cuts[direction{from, to}] <= d.now {
				d.actors[to].Receive(now, from, m)
			}
		}})
	}
}

func (d *Driver[M]) delay() sardine.Millis {
	if d.faults.MaxDelay == 0 {
		return 1
	}
	most := int(d.faults.MaxDelay)
	if d.random.Float64() < d.faults.Late {
		most *= 20
	}
	return 1 + sardine.Millis(d.random.IntN(most))
}

// After runs work on a node after a delay, such as the end of a disk sync. A crash
// drops it, a pause delays it.
func (d *Driver[M]) After(id sardine.NodeID, delay sardine.Millis, work func(now sardine.Millis)) {
	n := d.find(id)
	d.push(&event{at: d.now + delay, node: n, incarnation: n.incarnation, run: work})
}

// At runs work that belongs to no node after a delay.
func (d *Driver[M]) At(delay sardine.Millis, work func(now sardine.Millis)) {
	d.push(&event{at: d.now + delay, run: work})
}

// Step handles the next event and reports whether there was one.
func (d *Driver[M]) Step() bool {
	for {
		e := d.queue.next()
		if e == nil {
			return false
		}
		d.now = max(d.now, e.at)
		if e.node == nil {
			e.run(d.now)
			return true
		}
		if d.runEvent(e) {
			d.steps++
			return true
		}
	}
}

// Run does the given number of steps, or fewer if no events are left.
func (d *Driver[M]) Run(steps int) {
	for range steps {
		if !d.Step() {
			return
		}
	}
}

// runEvent handles a node's event unless it is outdated or must wait for the end of
// a pause. It reports whether it did.
func (d *Driver[M]) runEvent(e *event) bool {
	n := e.node
	if !n.up || e.incarnation != n.incarnation || e.timerID != 0 && e.timerID != n.timerID {
		return false
	}
	if n.paused > d.now {
		e.at = n.paused
		d.push(e)
		return false
	}
	e.run(n.local(d.now))
	d.setTimer(n)
	return true
}

// setTimer sets the node's timer to the instant that its actor asks for and
// invalidates the one set before.
func (d *Driver[M]) setTimer(n *node) {
	if !n.up {
		return
	}
	n.timerID++
	d.push(&event{at: max(n.global(n.wakeTime()), d.now+1), node: n, incarnation: n.incarnation, timerID: n.timerID, run: n.tickActor})
}

func (d *Driver[M]) push(e *event) {
	d.sequence++
	e.sequence = d.sequence
	d.queue.add(e)
}

func (d *Driver[M]) find(id sardine.NodeID) *node {
	for _, n := range d.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
