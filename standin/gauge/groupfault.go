package gauge

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/fake"
)

// schedule is one kind of failures.
type schedule struct {
	name   string
	length sardine.Millis // after the warm-up
	large  bool           // at the target size
	plan   func(x *faults)
}

// schedules returns all schedules in the order of the tables.
func schedules() []schedule {
	return []schedule{
		{name: "single", length: 1200 * sardine.Second, plan: (*faults).single},
		{name: "second", length: 1200 * sardine.Second, plan: (*faults).second},
		{name: "dark", length: 1800 * sardine.Second, plan: (*faults).dark},
		{name: "flapping", length: 1200 * sardine.Second, plan: (*faults).flapping},
		{name: "straggler", length: 1800 * sardine.Second, plan: (*faults).straggler},
		{name: "ordinary_day", length: 24 * 3600 * sardine.Second, large: true, plan: (*faults).ordinaryDay},
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

// faults brings a schedule's failures about. Its random source is its own, so
// that all policies see the same failures.
type faults struct {
	w      *fake.World
	random *rand.Rand
	length sardine.Millis
	hits   int // failures of a member of a group that served
}

func (x *faults) between(low, high sardine.Millis) sardine.Millis {
	return low + sardine.Millis(x.random.IntN(int(high-low)+1))
}

// absence is how long a failed VM is away: a restart, or its replacement.
func (x *faults) absence() sardine.Millis {
	if x.random.IntN(2) == 0 {
		return x.between(20*sardine.Second, 90*sardine.Second)
	}
	return x.between(600*sardine.Second, 1800*sardine.Second)
}

// crash takes an engine down and notes what it hit.
func (x *faults) crash(e *fake.Engine, away sardine.Millis) {
	x.note(e)
	x.w.CrashFor(e, away)
}

func (x *faults) note(e *fake.Engine) {
	o, owned := x.w.Machine().Owner(e.VM)
	if !owned {
		return
	}
	g, known := x.w.Machine().Group(o.Group)
	if known && g.State == sardine.GroupServing {
		x.hits++
	}
}

// member returns a random engine of a random group of the first deployment. The
// choice depends on the seed and the order of groups alone.
func (x *faults) member(service sardine.ServiceName) (*fake.Engine, sardine.GroupID) {
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

func (x *faults) single() {
	away := x.absence()
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.member("main")
		x.crash(e, away)
	})
}

// second fails a member, and a few seconds after its group serves again another.
func (x *faults) second() {
	first, then := x.absence(), x.absence()
	pause := x.between(2*sardine.Second, 15*sardine.Second)
	rank := x.random.IntN(4)
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, id := x.member("main")
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

// whenServing looks each second whether a group serves under a later epoch.
func (x *faults) whenServing(id sardine.GroupID, tries int, run func()) {
	before, _ := x.w.Machine().Group(id)
	var look func()
	look = func() {
		tries--
		g, known := x.w.Machine().Group(id)
		if known && g.State == sardine.GroupServing && g.Epoch > before.Epoch {
			run()
			return
		}
		if known && tries > 0 {
			x.w.After(sardine.Second, look)
		}
	}
	x.w.After(sardine.Second, look)
}

func (x *faults) dark() {
	away := x.between(300*sardine.Second, 1500*sardine.Second)
	x.w.After(x.between(0, 60*sardine.Second), func() {
		first, _ := x.member("main")
		for _, e := range x.w.Engines() {
			if e.Domain == first.Domain {
				x.crash(e, away)
			}
		}
	})
}

// flapping fails one VM each time it has been up for a short while.
func (x *faults) flapping() {
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.member("main")
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

func (x *faults) straggler() {
	ratio := 1.6 + 2*x.random.Float64()
	x.w.After(x.between(0, 60*sardine.Second), func() {
		e, _ := x.member("main")
		x.w.SetSlowdown(e, ratio)
	})
}

// ordinaryDay fails 6 VMs and restarts or replaces 240 with notice.
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
			x.note(e)
			x.w.Leave(e, notice, away)
		})
	}
}
