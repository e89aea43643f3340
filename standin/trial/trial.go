package trial

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/quorum"
)

// Options set one run.
type Options struct {
	Seed    uint64
	Steps   int // under faults, before the closing checks
	Members int // 0 lets the seed choose among 1, 3, 5 and 7
	Timing  quorum.Timing
	Defects quorum.Defects
}

// Report tells what a run went through. Violation is empty if all checks held.
type Report struct {
	Seed            uint64         `json:"seed"`
	Members         int            `json:"members"`
	Steps           int            `json:"steps"`
	Entries         uint64         `json:"entries"`
	Term            uint64         `json:"term"`
	Reads           int            `json:"reads"`
	Snapshots       int            `json:"snapshots"`
	Installs        int            `json:"installs"`
	TailCuts        int            `json:"tail_cuts"`
	DiskStops       int            `json:"stops"`
	DataLosses      int            `json:"wipes"`
	UnusableFolders int            `json:"refused"`
	Changes         int            `json:"member_changes"`
	Failover        sardine.Millis `json:"failover_ms"` // from leader loss to the next applied change
	Violation       string         `json:"violation"`
}

// trial is one run.
type trial struct {
	options     Options
	driver      *drive.Driver[quorum.Message]
	book        *book
	members     []*member
	damaged     map[sardine.NodeID]bool
	report      Report
	counter     int
	joined      int
	harmed      bool           // a member's folder was damaged or emptied
	steadyUntil sardine.Millis // no member changes before
	calm        bool           // the faults have ended
	quiet       bool           // no changes are proposed
}

// steadyFor is how long the member list stays after a lasting loss: a removal at
// the same moment would cost the quorum of a small site.
const steadyFor = 5 * sardine.Second

// sizes are the member counts that seeds go through.
var sizes = [...]int{3, 5, 3, 1, 3, 5, 3, 7}

// Run does one run.
func Run(o Options) Report {
	if o.Members == 0 {
		o.Members = sizes[o.Seed%uint64(len(sizes))]
	}
	if o.Timing == (quorum.Timing{}) {
		o.Timing = quorum.DefaultTiming()
	}
	t := &trial{
		options: o,
		driver:  drive.New[quorum.Message](o.Seed, drive.AllFaults()),
		book:    newBook(),
		damaged: make(map[sardine.NodeID]bool),
	}
	t.report = Report{Seed: o.Seed, Members: o.Members}
	t.begin()
	for t.driver.Steps() < o.Steps && t.book.violation == "" {
		t.driver.Step()
	}
	t.closing()
	t.report.Steps = t.driver.Steps()
	t.report.Entries = t.book.highest
	t.report.Violation = t.book.violation
	return t.report
}

// begin starts the first members and the load.
func (t *trial) begin() {
	var first []quorum.Member
	for i := range t.options.Members {
		first = append(first, quorum.Member{Node: sardine.NodeID(fmt.Sprintf("c%d", i+1)), Address: "none"})
	}
	for _, f := range first {
		t.add(f.Node, first)
	}
	t.every(40, t.propose)
	t.every(150, t.confirm)
	t.every(2500, t.unlessCalm(t.changeMember))
	t.every(4000, t.unlessCalm(t.harmDisk))
}

func (t *trial) add(id sardine.NodeID, first []quorum.Member) {
	m := &member{trial: t, id: id, first: first, folder: 1, disk: disk.NewMemory(t.driver.Random())}
	t.members = append(t.members, m)
	t.driver.Add(id, m)
}

// every repeats work at random intervals around a mean.
func (t *trial) every(mean sardine.Millis, work func()) {
	t.driver.At(1+sardine.Millis(t.driver.Random().IntN(int(2*mean))), func(sardine.Millis) {
		work()
		t.every(mean, work)
	})
}

func (t *trial) unlessCalm(work func()) func() {
	return func() {
		if !t.calm {
			work()
		}
	}
}

func (t *trial) running(m *member) bool {
	return m.core != nil && t.driver.Up(m.id)
}

// propose offers a command to every member that believes to lead.
func (t *trial) propose() {
	if t.quiet {
		return
	}
	for _, m := range t.members {
		if t.running(m) && m.core.IsLeader() {
			t.counter++
			data := fmt.Appendf(nil, "change %d", t.counter)
			m.use(func() { _, _ = m.core.Propose(t.driver.Local(m.id), data) })
		}
	}
}

// confirm asks every member that believes to lead for a confirmed read.
func (t *trial) confirm() {
	for _, m := range t.members {
		if t.running(m) && m.core.IsLeader() {
			floor := t.book.highest
			m.use(func() {
				if ticket, err := m.core.ConfirmLeadership(t.driver.Local(m.id)); err == nil {
					m.reads[ticket] = floor
				}
			})
		}
	}
}

// leader returns the running member that leads in the highest term.
func (t *trial) leader() *member {
	var best *member
	for _, m := range t.members {
		if t.running(m) && m.core.IsLeader() && (best == nil || m.core.Term() > best.core.Term()) {
			best = m
		}
	}
	return best
}

// changeMember makes one step of a member's replacement: a broken or a random
// member leaves once a learner can take its place.
func (t *trial) changeMember() {
	l := t.leader()
	if l == nil || t.driver.Now() < t.steadyUntil {
		return
	}
	list := l.core.Members()
	random := t.driver.Random()
	learner := slices.IndexFunc(list, func(m quorum.Member) bool { return m.Learner })
	switch {
	case learner >= 0 && len(list) <= t.options.Members:
		t.change(l, quorum.MemberChange{Kind: quorum.Promote, Member: list[learner]})
	case learner >= 0:
		t.change(l, quorum.MemberChange{Kind: quorum.Remove, Member: t.leaving(list)})
	default:
		t.joined++
		id := sardine.NodeID(fmt.Sprintf("n%d", t.joined))
		if t.change(l, quorum.MemberChange{Kind: quorum.AddLearner, Member: quorum.Member{Node: id, Address: "none"}}) {
			t.add(id, nil)
		}
	}
	if random.IntN(3) == 0 {
		t.change(l, quorum.MemberChange{Kind: quorum.Promote, Member: list[random.IntN(len(list))]})
	}
}

func (t *trial) leaving(list []quorum.Member) quorum.Member {
	for _, m := range t.members {
		at := slices.IndexFunc(list, func(l quorum.Member) bool { return l.Node == m.id })
		if t.damaged[m.id] && at >= 0 {
			return list[at]
		}
	}
	return list[t.driver.Random().IntN(len(list))]
}

func (t *trial) change(l *member, change quorum.MemberChange) bool {
	if l.core == nil {
		return false
	}
	var err error
	l.use(func() { _, err = l.core.ChangeMember(t.driver.Local(l.id), change) })
	if err == nil {
		t.report.Changes++
	}
	return err == nil && !codes.Is(err, codes.InvariantBroken)
}

// harmDisk fills a disk, fails a sync, or damages or empties the folder of a
// member.
func (t *trial) harmDisk() {
	random := t.driver.Random()
	m := t.members[random.IntN(len(t.members))]
	switch random.IntN(4) {
	case 0:
		m.disk.LimitFree(int64(random.IntN(300)))
	case 1:
		m.disk.FailSyncs(random.IntN(3), 1)
	case 2:
		t.damage(m)
	default:
		t.wipe(m)
	}
}

// wipe empties the folder of a member that crashed, as an operator in a hurry
// might. The member may not vote until it has caught up.
func (t *trial) wipe(m *member) {
	if !t.mayHarm(m) {
		return
	}
	t.harmed = true
	t.report.DataLosses++
	m.disk = disk.NewMemory(t.driver.Random())
	m.folder++
	m.acked = 0
	m.vote = quorum.HardState{}
}

// mayHarm reports whether a lasting loss leaves a quorum: it hits one member
// only, and not while the list changes. The member is crashed for it.
func (t *trial) mayHarm(m *member) bool {
	if t.harmed || t.options.Members < 3 || !t.settled() {
		return false
	}
	t.steadyUntil = t.driver.Now() + steadyFor
	t.driver.Crash(m.id)
	t.driver.At(sardine.Second, func(sardine.Millis) { t.driver.Restart(m.id) })
	return true
}

// settled reports whether all members up agree on a list of full size, and none of
// the first ones, listed or not, may still take part in founding the site.
func (t *trial) settled() bool {
	l := t.leader()
	if l == nil || len(l.core.Members()) != t.options.Members || t.listed(l) != t.options.Members {
		return false
	}
	for _, m := range t.members {
		if m.first != nil && !m.wasSettled {
			return false
		}
		if t.lists(l, m.id) && (!m.wasSettled || m.core != nil && !slices.Equal(m.core.Members(), l.core.Members())) {
			return false
		}
	}
	return true
}

func (t *trial) damage(m *member) {
	if !t.mayHarm(m) {
		return
	}
	names, _ := m.disk.List()
	for _, name := range names {
		if name != "identity" && m.disk.FlipBit(name, 30) {
			t.harmed = true
			t.damaged[m.id] = true
			return
		}
	}
}
