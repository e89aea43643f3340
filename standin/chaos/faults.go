package chaos

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineswitch.dev/sardine/standin/plain"
)

// Durations of a fault and of the pause after it, and the time that a drain may
// take.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
	longestPause  = 1500 * time.Millisecond
	drainTimeout  = 20 * time.Second
)

// fault injects one failure, waits, and repairs it.
type fault struct {
	name string
	run  func(r *run, random *rand.Rand)
}

// sequences lists the faults. The sequences run concurrently, each with one
// fault at a time. The faults that stop one kind of process are in one
// sequence, so that no process is started twice.
var sequences = [][]fault{
	{
		{"engine dies", crashEngine},
		{"engine pauses", pauseEngine},
		{"engine leaves", leaveEngine},
	},
	{
		{"entry crashes", crashEntry},
		{"entry drains", drainEntry},
	},
	{
		{"control crashes", crashControl},
		{"service breaks off", breakServiceAnswers},
		{"service leaves", leaveService},
	},
	{
		{"entry cut", isolateEntry},
		{"control cut", isolateControl},
	},
}

// injectFaults runs all sequences of faults concurrently until the time is
// over.
func (r *run) injectFaults() {
	end := time.Now().Add(r.options.Duration)
	var group sync.WaitGroup
	for i, faults := range sequences {
		group.Go(func() { r.sequence(end, faults, r.random(uint64(i+1))) })
	}
	group.Wait()
}

// sequence injects one random fault after the other until end.
func (r *run) sequence(end time.Time, choices []fault, random *rand.Rand) {
	for time.Now().Before(end) {
		f := choices[random.IntN(len(choices))]
		r.mu.Lock()
		r.result.Faults[f.name]++
		r.mu.Unlock()
		f.run(r, random)
		time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
	}
}

// holdFault sleeps for the duration of a fault.
func holdFault(random *rand.Rand) {
	time.Sleep(shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))))
}

// setDown records that a VM is crashed or paused from now on, or that it runs
// again.
func (r *run) setDown(vm string, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down {
		r.down[vm] = time.Now()
		return
	}
	delete(r.down, vm)
}

func crashEngine(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	r.setDown(string(e.VM()), true)
	e.Crash()
	holdFault(random)
	e.Stop()
	if err := e.Start(); err != nil {
		r.violate("engine %s did not restart: %v", e.VM(), err)
	}
	r.setDown(string(e.VM()), false)
}

func pauseEngine(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	r.setDown(string(e.VM()), true)
	e.Pause()
	holdFault(random)
	r.setDown(string(e.VM()), false)
	e.Resume()
}

func leaveEngine(r *run, random *rand.Rand) {
	e := r.site.Engines()[random.IntN(len(r.site.Engines()))]
	e.Leave()
	holdFault(random)
	e.Stop()
	if err := e.Start(); err != nil {
		r.violate("engine %s did not restart: %v", e.VM(), err)
	}
}

func crashEntry(r *run, random *rand.Rand) {
	i := random.IntN(entries)
	if err := r.site.StopEntry(i); err != nil {
		r.violate("entry node %d stopped with an error: %v", i, err)
	}
	holdFault(random)
	if err := r.site.StartEntry(i); err != nil {
		r.violate("entry node %d did not restart: %v", i, err)
	}
}

func drainEntry(r *run, random *rand.Rand) {
	i := random.IntN(entries)
	node := r.site.Entries()[i].Node()
	node.Drain()
	select {
	case <-node.Done():
	case <-time.After(drainTimeout):
		r.violate("entry node %d did not finish draining in time", i)
	}
	stopErr := r.site.StopEntry(i)
	if stopErr != nil {
		r.violate("entry node %d stopped with an error: %v", i, stopErr)
	}
	holdFault(random)
	if err := r.site.StartEntry(i); err != nil {
		r.violate("entry node %d did not restart: %v", i, err)
	}
}

// crashControl stops one control node of three, in half of the cases the
// leader, so that a quorum remains.
func crashControl(r *run, random *rand.Rand) {
	i := random.IntN(controls)
	if random.IntN(2) == 0 {
		i = max(r.site.LeaderIndex(), 0)
	}
	if err := r.site.StopControl(i); err != nil {
		r.violate("control node %d stopped with an error: %v", i, err)
	}
	holdFault(random)
	if err := r.site.StartControl(i); err != nil {
		r.violate("control node %d did not restart: %v", i, err)
	}
}

func breakServiceAnswers(r *run, random *rand.Rand) {
	kinds := []plain.Fault{plain.FaultBeforeRun, plain.FaultAfterRun, plain.FaultHalfAnswer}
	p := r.site.PlainServices()[random.IntN(plains)]
	p.InjectFault(kinds[random.IntN(len(kinds))], 1+random.IntN(5))
	holdFault(random)
}

func leaveService(r *run, random *rand.Rand) {
	p := r.site.PlainServices()[random.IntN(plains)]
	p.Leave()
	holdFault(random)
	p.Stop()
	if err := p.Start(); err != nil {
		r.violate("service %s did not restart: %v", p.VM(), err)
	}
}
