package drive

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
)

// Actor is one node under test. All instants are on the node's own clock.
type Actor[M any] interface {
	// Start begins a life, with what the disk holds.
	Start(now sardine.Millis)
	// Receive takes a message.
	Receive(now sardine.Millis, from sardine.NodeID, m M)
	// Tick lets time pass.
	Tick(now sardine.Millis)
	// Wake returns when Tick must be called next.
	Wake() sardine.Millis
	// Crash ends a life: memory and unsynced writes are lost.
	Crash()
}

// Faults sets what goes wrong. Shares are between 0 and 1.
type Faults struct {
	Loss      float64        // share of messages lost
	Duplicate float64        // share of messages delivered twice
	Delay     sardine.Millis // highest ordinary delay of a message
	Late      float64        // share of messages that take up to twenty times as long
	Drift     float64        // highest error of a node's clock rate
	Every     sardine.Millis // mean time between disturbances, 0 for none
	Length    sardine.Millis // highest duration of a disturbance
	Crashes   bool           // disturbances include crashes
	Pauses    bool           // disturbances include pauses
	Cuts      bool           // disturbances include cuts and partitions
}

// AllFaults returns a harsh mixture.
func AllFaults() Faults {
	return Faults{
		Loss:      0.03,
		Duplicate: 0.03,
		Delay:     30,
		Late:      0.05,
		Drift:     0.01,
		Every:     1500,
		Length:    4000,
		Crashes:   true,
		Pauses:    true,
		Cuts:      true,
	}
}

type direction struct {
	from, to sardine.NodeID
}

// node is an actor's place in the driver.
type node struct {
	id     sardine.NodeID
	up     bool
	paused sardine.Millis // until when
	life   uint64
	wake   uint64
	start  sardine.Millis // own clock at the driver's zero
	rate   float64
	begin  func(now sardine.Millis)
	tick   func(now sardine.Millis)
	next   func() sardine.Millis
	crash  func()
}

func (n *node) local(now sardine.Millis) sardine.Millis {
	return n.start + sardine.Millis(float64(now)*n.rate)
}

// global returns the first driver's instant at which the node's clock shows at.
func (n *node) global(at sardine.Millis) sardine.Millis {
	g := sardine.Millis(float64(at-n.start) / n.rate)
	for n.local(g) < at {
		g++
	}
	return g
}

// Driver runs actors that exchange messages of type M.
type Driver[M any] struct {
	random *rand.Rand
	faults Faults
	now    sardine.Millis
	order  uint64
	queue  queue
	nodes  []*node
	actors map[sardine.NodeID]Actor[M]
	cuts   map[direction]sardine.Millis // until when
	steps  int
	link   func(from, to sardine.NodeID) sardine.Millis
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

// Random returns the driver's random source, for the test's own choices.
func (d *Driver[M]) Random() *rand.Rand { return d.random }

// Now returns the driver's instant.
func (d *Driver[M]) Now() sardine.Millis { return d.now }

// Local returns the instant on a node's own clock.
func (d *Driver[M]) Local(id sardine.NodeID) sardine.Millis { return d.find(id).local(d.now) }

// Steps returns the number of steps done.
func (d *Driver[M]) Steps() int { return d.steps }

// Up reports whether a node runs and is not paused.
func (d *Driver[M]) Up(id sardine.NodeID) bool {
	n := d.find(id)
	return n != nil && n.up && n.paused <= d.now
}

// Add starts an actor.
func (d *Driver[M]) Add(id sardine.NodeID, a Actor[M]) {
	n := &node{id: id, rate: 1 + d.faults.Drift*(2*d.random.Float64()-1), start: sardine.Millis(d.random.IntN(100_000))}
	n.begin, n.tick, n.next, n.crash = a.Start, a.Tick, a.Wake, a.Crash
	d.nodes = append(d.nodes, n)
	d.actors[id] = a
	d.Restart(id)
}

// Send carries a message, or loses it.
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
		d.push(&item{at: d.now + d.delay() + d.linkTime(from, to), node: n, life: n.life, work: func(now sardine.Millis) {
			if n.up && d.cuts[direction{from, to}] <= d.now {
				d.actors[to].Receive(now, from, m)
			}
		}})
	}
}

func (d *Driver[M]) delay() sardine.Millis {
	if d.faults.Delay == 0 {
		return 1
	}
	most := int(d.faults.Delay)
	if d.random.Float64() < d.faults.Late {
		most *= 20
	}
	return 1 + sardine.Millis(d.random.IntN(most))
}

// After runs work on a node after a delay, such as the end of a disk's sync. A
// crash drops it, a pause holds it up.
func (d *Driver[M]) After(id sardine.NodeID, delay sardine.Millis, work func(now sardine.Millis)) {
	n := d.find(id)
	d.push(&item{at: d.now + delay, node: n, life: n.life, work: work})
}

// At runs work of the test itself after a delay.
func (d *Driver[M]) At(delay sardine.Millis, work func(now sardine.Millis)) {
	d.push(&item{at: d.now + delay, work: work})
}

// Step does the next thing that is due and reports whether there was one.
func (d *Driver[M]) Step() bool {
	for {
		i := d.queue.next()
		if i == nil {
			return false
		}
		d.now = max(d.now, i.at)
		if i.node == nil {
			i.work(d.now)
			return true
		}
		if d.perform(i) {
			d.steps++
			return true
		}
	}
}

// Run does steps until the given number of them is done.
func (d *Driver[M]) Run(steps int) {
	for range steps {
		if !d.Step() {
			return
		}
	}
}

// perform does a node's item, unless it is outdated or held up by a pause.
func (d *Driver[M]) perform(i *item) bool {
	n := i.node
	if !n.up || i.life != n.life || i.wake != 0 && i.wake != n.wake {
		return false
	}
	if n.paused > d.now {
		i.at = n.paused
		d.push(i)
		return false
	}
	i.work(n.local(d.now))
	d.arm(n)
	return true
}

// arm sets the node's timer anew.
func (d *Driver[M]) arm(n *node) {
	if !n.up {
		return
	}
	n.wake++
	d.push(&item{at: max(n.global(n.next()), d.now+1), node: n, life: n.life, wake: n.wake, work: n.tick})
}

func (d *Driver[M]) push(i *item) {
	d.order++
	i.order = d.order
	d.queue.add(i)
}

func (d *Driver[M]) find(id sardine.NodeID) *node {
	for _, n := range d.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
