package gauge

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/fake"
)

// schedule is a pattern of failures.
type schedule struct {
	name   string
	length sardine.Millis  // after the warm-up
	large  bool            // on the site of 840 workers
	inject func(x *faults) // schedules the failures
}

// schedules returns all schedules in the order in which they are printed.
func schedules() []schedule {
	return []schedule{
		{name: "single", length: 1200 * sardine.Second, inject: (*faults).single},
		{name: "second", length: 1200 * sardine.Second, inject: (*faults).second},
		{name: "dark", length: 1800 * sardine.Second, inject: (*faults).crashDomain},
		{name: "flapping", length: 1200 * sardine.Second, inject: (*faults).flapping},
		{name: "straggler", length: 1800 * sardine.Second, inject: (*faults).straggler},
		{name: "ordinary_day", length: 24 * 3600 * sardine.Second, large: true, inject: (*faults).ordinaryDay},
	}
}

func scheduleNamed(name string) (schedule, bool) {
	for _, s := range schedules() {
		if s.name == name {
			return s, true
		}
	}
	return schedule{}, false
}

// faults injects a schedule's failures. It has a random source of its own, so
// that the failures are the same under all policies.
type faults struct {
	w      *fake.World
	random *rand.Rand
	length sardine.Millis
	hits   int // failures of a member of a group that served
}

// between draws a duration.
func (x *faults) between(low, high sardine.Millis) sardine.Millis {
	return low + sardine.Millis(x.random.IntN(int(high-low)+1))
}

// absence draws how long a failed VM is absent: the time of a restart or that of
// a replacement.
func (x *faults) absence() sardine.Millis {
	if x.random.IntN(2) == 0 {
		return x.between(20*sardine.Second, 90*sardine.Second)
	}
	return x.between(600*sardine.Second, 1800*sardine.Second)
}

// crash crashes an engine for a time and counts the hit.
func (x *faults) crash(e *fake.Engine, away sardine.Millis) {
	x.countHit(e)
	x.w.CrashFor(e, away)
}

// countHit counts a failure if the engine is a member of a serving group.
func (x *faults) countHit(e *fake.Engine) {
	o, owned := x.w.Machine().Owner(e.VM)
	if !owned {
		return
	}
	g, known := x.w.Machine().Group(o.Group)
	if known && g.State == sardine.GroupServing {
		x.hits++
	}
}

// randomMember returns a random engine of a random serving group of the
// deployment, or the first engine if no group serves. The choice depends only
// on the seed and the order of the groups.
func (x *faults) randomMember(service sardine.ServiceName) (*fake.Engine, sardine.GroupID) {
	var groups []sardine.Group
	for _, g := range x.w.Machine().Groups() {
		if g.Service == service && g.State == sardine.GroupServing {
			groups = append(groups, g)
		}
	}
	if len(groups) == 0 {
		return x.w.Engines()[0], ""
	}
	g := groups[x.random.IntN(len(groups))]
	return x.w.Engine(g.Members[x.random.IntN(len(g.Members))].VM), g.ID
}

// single crashes one member.
func (x *faults) single() {
	away := x.absence()
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.randomMember("main")
		x.crash(e, away)
	})
}

// second crashes a member, and another one a few seconds after the group serves
// again.
func (x *faults) second() {
	first, then := x.absence(), x.absence()
	pause := x.between(2*sardine.Second, 15*sardine.Second)
	rank := x.random.IntN(4)
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, id := x.randomMember("main")
		x.crash(e, first)
		x.whenServing(id, 600, func() {
			x.w.After(pause, func() {
				if g, known := x.w.Machine().Group(id); known {
					x.crash(x.w.Engine(g.Members[rank].VM), then)
				}
			})
		})
	})
}

// whenServing polls a group each second and calls run once it serves under a
// later epoch. It stops after the given number of tries, or if the group no
// longer exists.
func (x *faults) whenServing(id sardine.GroupID, tries int, run func()) {
	before, _ := x.w.Machine().Group(id)
	var poll func()
	poll = func() {
		tries--
		g, known := x.w.Machine().Group(id)
		if known && g.State == sardine.GroupServing && g.Epoch > before.Epoch {
			run()
			return
		}
		if known && tries > 0 {
			x.w.After(sardine.Second, poll)
		}
	}
	x.w.After(sardine.Second, poll)
}

// crashDomain crashes all engines in the domain of a random member.
func (x *faults) crashDomain() {
	away := x.between(300*sardine.Second, 1500*sardine.Second)
	x.w.After(x.between(0, 60*sardine.Second), func() {
		first, _ := x.randomMember("main")
		for _, e := range x.w.Engines() {
			if e.Domain == first.Domain {
				x.crash(e, away)
			}
		}
	})
}

// flapping crashes one VM 12 times, each time after it has been up for a short
// while.
func (x *faults) flapping() {
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.randomMember("main")
		x.flap(e, 12)
	})
}

func (x *faults) flap(e *fake.Engine, left int) {
	if left == 0 {
		return
	}
	away := x.between(5*sardine.Second, 15*sardine.Second)
	up := x.between(20*sardine.Second, 80*sardine.Second)
	x.crash(e, away)
	x.w.After(away+up, func() { x.flap(e, left-1) })
}

// straggler slows one engine down for the rest of the run.
func (x *faults) straggler() {
	ratio := 1.6 + 2*x.random.Float64()
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.randomMember("main")
		x.w.SetSlowdown(e, ratio)
	})
}

// ordinaryDay crashes 6 VMs and restarts or replaces 240 that announce their
// departure.
func (x *faults) ordinaryDay() {
	engines := x.w.Engines()
	for range 6 {
		e := engines[x.random.IntN(len(engines))]
		away := x.absence()
		x.w.After(x.between(0, x.length), func() { x.crash(e, away) })
	}
	for range 240 {
		e := engines[x.random.IntN(len(engines))]
		notice := x.between(30*sardine.Second, 60*sardine.Second)
		away := x.between(60*sardine.Second, 600*sardine.Second)
		x.w.After(x.between(0, x.length), func() {
			x.countHit(e)
			x.w.Leave(e, notice, away)
		})
	}
}
