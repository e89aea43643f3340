package trial

import (
	"fmt"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/roster"
)

const (
	// upkeepInterval is the time between two checks of the member list.
	upkeepInterval = 500 * sardine.Millis(1)
	// upkeepPause is the time from a change of the member list to the next check.
	upkeepPause = 50 * sardine.Millis(1)
	// successorDelay is the time from a member's end until its successor starts.
	successorDelay = sardine.Second
	// lingerTime is how long a member runs beside its successor if it is replaced as planned.
	lingerTime = 2 * sardine.Second
	// outageTime is how long all members are without power at the end.
	outageTime = 1500 * sardine.Millis(1)
	// recoveryTime bounds the time from then until a change is applied.
	recoveryTime = 12 * sardine.Second
)

// Succession are the parameters of a run in which members are replaced, or paused, one after
// the other. Each successor is a new node with an empty disk.
type Succession struct {
	Seed       uint64
	Voters     int
	Rounds     int
	Spacing    sardine.Millis // between two losses
	Victim     string         // oldest, newest, leader or random
	Event      string         // replaced, planned or paused
	EnrolDelay sardine.Millis // longest time from a node's start until the leader has its request
	Outage     bool           // at the end all lose power, and one its disk
}

// SuccessionReport is the result of a run.
type SuccessionReport struct {
	LongestGap sardine.Millis // without an applied change
	Voters     int            // at the end
	Answering  int            // of them
	Violation  string
}

// succession is one run.
type succession struct {
	*trial
	plan      Succession
	added     int
	highest   uint64
	appliedAt sardine.Millis
	gap       sardine.Millis
}

// RunSuccession performs one run.
func RunSuccession(p Succession) SuccessionReport {
	t := &trial{
		options:      Options{Seed: p.Seed, Members: p.Voters, Timing: quorum.DefaultTiming()},
		driver:       drive.New[quorum.Message](p.Seed, drive.Faults{Loss: 0.002, MaxDelay: 10, MaxDrift: 0.001}),
		checker:      newChecker(),
		damagedNodes: make(map[sardine.NodeID]bool),
		faultsEnded:  true,
	}
	s := &succession{trial: t, plan: p}
	t.start()
	s.upkeep()
	s.runFor(5 * sardine.Second)
	s.gap, s.appliedAt = 0, t.driver.Now()
	for range p.Rounds {
		s.loseOne()
		s.runFor(p.Spacing)
	}
	if p.Outage && t.checker.violation == "" {
		s.outage()
	}
	report := SuccessionReport{LongestGap: s.gap, Violation: t.checker.violation}
	if l := t.leader(); l != nil {
		m, _ := l.core.Status().Margin()
		report.Voters, report.Answering = m.Voters, m.Answering
	}
	return report
}

// runFor runs the driver for a time and measures how long no change is applied.
func (s *succession) runFor(length sardine.Millis) {
	s.waitUntil(length, func() bool {
		s.measure()
		return false
	})
}

// measure records how long no change has been applied.
func (s *succession) measure() {
	if s.checker.highest > s.highest {
		s.highest, s.appliedAt = s.checker.highest, s.driver.Now()
	}
	s.gap = max(s.gap, s.driver.Now()-s.appliedAt)
}

// upkeep makes the leader's member list follow the nodes that run, again and again.
func (s *succession) upkeep() {
	pause := upkeepInterval
	if l := s.leader(); l != nil {
		if change, due := roster.Next(roster.Peers(s.driver.Local(l.id), l.core.Status())); due && s.proposeChange(l, change) {
			pause = upkeepPause
		}
	}
	s.driver.At(pause, func(sardine.Millis) { s.upkeep() })
}

// loseOne replaces or pauses one member.
func (s *succession) loseOne() {
	victim := s.victim()
	if victim == nil {
		return
	}
	switch s.plan.Event {
	case "paused":
		s.driver.Pause(victim.id, s.plan.Spacing/2)
		s.enrolAgain(victim)
	case "planned":
		s.addSuccessor()
		s.driver.At(lingerTime, func(sardine.Millis) { s.driver.Crash(victim.id) })
	default:
		s.driver.Crash(victim.id)
		s.driver.At(successorDelay, func(sardine.Millis) { s.addSuccessor() })
	}
}

// victim returns the running member that is lost next.
func (s *succession) victim() *member {
	l := s.leader()
	var voters []*member
	for _, m := range s.members {
		if l != nil && s.running(m) && s.listsVoter(l, m.id) {
			voters = append(voters, m)
		}
	}
	switch {
	case len(voters) == 0:
		return nil
	case s.plan.Victim == "leader":
		return l
	case s.plan.Victim == "oldest":
		return voters[0]
	case s.plan.Victim == "newest":
		return voters[len(voters)-1]
	default:
		return voters[s.driver.Random().IntN(len(voters))]
	}
}

// addSuccessor starts a new node, which asks to be enrolled some time later.
func (s *succession) addSuccessor() {
	s.added++
	id := sardine.NodeID(fmt.Sprintf("s%d", s.added))
	s.add(id, nil)
	m := s.members[len(s.members)-1]
	s.driver.At(1+sardine.Millis(s.driver.Random().IntN(int(s.plan.EnrolDelay))), func(sardine.Millis) { s.enrolAgain(m) })
}

// enrolAgain adds a node as a learner whenever the leader's list lacks it.
func (s *succession) enrolAgain(m *member) {
	if l := s.leader(); l != nil && s.running(m) {
		s.proposeChange(l, quorum.MemberChange{Kind: quorum.AddLearner, Member: quorum.Member{Node: m.id, Address: "none"}})
	}
	s.driver.At(upkeepInterval, func(sardine.Millis) { s.enrolAgain(m) })
}

// outage cuts the power of all members, takes the disk of one, and waits until a change is
// applied again.
func (s *succession) outage() {
	wiped := s.victim()
	for _, m := range s.members {
		if s.driver.Up(m.id) {
			s.driver.Crash(m.id)
			s.driver.At(outageTime, func(sardine.Millis) { s.driver.Restart(m.id) })
		}
	}
	if wiped != nil {
		wiped.disk, wiped.acked, wiped.vote = disk.NewMemory(s.driver.Random()), 0, quorum.HardState{}
		wiped.folderNumber++
	}
	before := s.checker.highest
	if _, ok := s.waitUntil(outageTime+recoveryTime, func() bool { return s.checker.highest > before }); !ok {
		s.checker.fail("no change was applied within %d ms after an outage: %s", recoveryTime, s.describe())
	}
}

// DrawSuccession returns the parameters of a random run.
func DrawSuccession(seed uint64) Succession {
	random := rand.New(rand.NewPCG(seed, 1))
	pick := func(names ...string) string { return names[random.IntN(len(names))] }
	return Succession{
		Seed:       seed,
		Voters:     3 + random.IntN(7),
		Rounds:     3 + random.IntN(8),
		Spacing:    5*sardine.Second + sardine.Millis(random.IntN(5000)),
		Victim:     pick("oldest", "newest", "leader", "random"),
		Event:      pick("replaced", "replaced", "planned"),
		EnrolDelay: 100 + sardine.Millis(random.IntN(2900)),
		Outage:     true,
	}
}

// Failed reports whether a run has broken what it promises: no pause without an applied change
// is longer than the loss of a leader explains.
func (r SuccessionReport) Failed() bool {
	return r.Violation != "" || r.LongestGap > maxFailover
}
