package chaos

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineswitch.dev/sardine/standin/plain"
)

// Lengths of a fault and of the quiet after it.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
	longestQuiet  = 1500 * time.Millisecond
	drainBound    = 20 * time.Second
)

// fault breaks one thing, waits and mends it.
type fault struct {
	name string
	run  func(r *run, random *rand.Rand)
}

// sequences lists what is broken. One fault of each sequence is under way at any
// time; the faults of one kind of process are in one sequence, so that none is
// started twice.
var sequences = [][]fault{
	{
		{"engine dies", engineDies},
		{"engine pauses", enginePauses},
		{"engine leaves", engineLeaves},
	},
	{
		{"entry crashes", entryCrashes},
		{"entry drains", entryDrains},
	},
	{
		{"control crashes", controlCrashes},
		{"service breaks off", serviceBreaksOff},
		{"service leaves", serviceLeaves},
	},
	{
		{"entry cut", entryCut},
		{"control cut", controlCut},
	},
}

// faults runs the sequences of faults beside each other until the time is over.
func (r *run) faults() {
	end := time.Now().Add(r.options.Length)
	var group sync.WaitGroup
	for i, faults := range sequences {
		group.Go(func() { r.sequence(end, faults, r.random(uint64(i+1))) })
	}
	group.Wait()
}

func (r *run) sequence(end time.Time, of []fault, random *rand.Rand) {
	for time.Now().Before(end) {
		f := of[random.IntN(len(of))]
		r.mu.Lock()
		r.result.Faults[f.name]++
		r.mu.Unlock()
		f.run(r, random)
		time.Sleep(time.Duration(random.Int64N(int64(longestQuiet))))
	}
}

func hold(random *rand.Rand) {
	time.Sleep(shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))))
}

// setDown notes since when a VM can't do its part.
func (r *run) setDown(vm string, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down {
		r.down[vm] = time.Now()
		return
	}
	delete(r.down, vm)
}

func engineDies(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	r.setDown(string(e.VM()), true)
	e.Die()
	hold(random)
	e.Stop()
	if err := e.Start(); err != nil {
		r.violate("engine %s does not start again: %v", e.VM(), err)
	}
	r.setDown(string(e.VM()), false)
}

func enginePauses(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	r.setDown(string(e.VM()), true)
	e.Pause()
	hold(random)
	r.setDown(string(e.VM()), false)
	e.Resume()
}

func engineLeaves(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	e.Leave()
	hold(random)
	e.Stop()
	if err := e.Start(); err != nil {
		r.violate("engine %s does not start again: %v", e.VM(), err)
	}
}

func entryCrashes(r *run, random *rand.Rand) {
	i := random.IntN(entries)
	if err := r.site.StopEntry(i); err != nil {
		r.violate("entry node %d ended with: %v", i, err)
	}
	hold(random)
	if err := r.site.StartEntry(i); err != nil {
		r.violate("entry node %d does not start again: %v", i, err)
	}
}

func entryDrains(r *run, random *rand.Rand) {
	i := random.IntN(entries)
	node := r.site.Entries()[i].Node()
	node.Drain()
	select {
	case <-node.Dead():
	case <-time.After(drainBound):
		r.violate("entry node %d does not end its drain", i)
	}
	entryCrashed := r.site.StopEntry(i)
	if entryCrashed != nil {
		r.violate("entry node %d ended with: %v", i, entryCrashed)
	}
	hold(random)
	if err := r.site.StartEntry(i); err != nil {
		r.violate("entry node %d does not start again: %v", i, err)
	}
}

// controlCrashes breaks one control node of three, so that a quorum remains.
func controlCrashes(r *run, random *rand.Rand) {
	i := random.IntN(controls)
	if random.IntN(2) == 0 {
		i = max(r.site.Leader(), 0)
	}
	if err := r.site.StopControl(i); err != nil {
		r.violate("control node %d ended with: %v", i, err)
	}
	hold(random)
	if err := r.site.StartControl(i); err != nil {
		r.violate("control node %d does not start again: %v", i, err)
	}
}

func serviceBreaksOff(r *run, random *rand.Rand) {
	kinds := []plain.Fault{plain.FaultBefore, plain.FaultAfter, plain.FaultHalf}
	p := r.site.Plains()[random.IntN(plains)]
	p.Fail(kinds[random.IntN(len(kinds))], 1+random.IntN(5))
	hold(random)
}

func serviceLeaves(r *run, random *rand.Rand) {
	p := r.site.Plains()[random.IntN(plains)]
	p.Leave()
	hold(random)
	p.Stop()
	if err := p.Start(); err != nil {
		r.violate("service %s does not start again: %v", p.VM(), err)
	}
}
