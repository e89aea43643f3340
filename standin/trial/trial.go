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

// Options are the parameters of one run.
type Options struct {
	Seed    uint64
	Steps   int // under faults, before the final checks
	Members int // 0 lets the seed select 1, 3, 5 or 7
	Timing  quorum.Timing
	Defects quorum.Defects
}

// Report is the result of a run. Violation is empty if all checks passed.
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
	Failover        sardine.Millis `json:"failover_ms"` // from the leader's loss to the next applied change
	Violation       string         `json:"violation"`
}

// trial is one run.
type trial struct {
	options           Options
	driver            *drive.Driver[quorum.Message]
	checker           *checker
	members           []*member
	damagedNodes      map[sardine.NodeID]bool
	report            Report
	proposals         int
	added             int
	dataLost          bool           // a member's folder was damaged or lost
	membersFixedUntil sardine.Millis // no member changes before this instant
	faultsEnded       bool
	proposalsPaused   bool // no changes are proposed
}

// membersFixedFor is how long the member list stays unchanged after data was
// lost: a removal at the same time would cost a small site its quorum.
const membersFixedFor = 5 * sardine.Second

// siteSizes are the numbers of members, by the seed.
var siteSizes = [...]int{3, 5, 3, 1, 3, 5, 3, 7}

// Run performs one run.
func Run(o Options) Report {
	if o.Members == 0 {
		o.Members = siteSizes[o.Seed%uint64(len(siteSizes))]
	}
	if o.Timing == (quorum.Timing{}) {
		o.Timing = quorum.DefaultTiming()
	}
	t := &trial{
		options:      o,
		driver:       drive.New[quorum.Message](o.Seed, drive.AllFaults()),
		checker:      newChecker(),
		damagedNodes: make(map[sardine.NodeID]bool),
	}
	t.report = Report{Seed: o.Seed, Members: o.Members}
	t.start()
	for t.driver.Steps() < o.Steps && t.checker.violation == "" {
		t.driver.Step()
	}
	t.finalChecks()
	t.report.Steps = t.driver.Steps()
	t.report.Entries = t.checker.highest
	t.report.Violation = t.checker.violation
	return t.report
}

// start starts the initial members and the periodic work.
func (t *trial) start() {
	var first []quorum.Member
	for i := range t.options.Members {
		first = append(first, quorum.Member{Node: sardine.NodeID(fmt.Sprintf("c%d", i+1)), Address: "none"})
	}
	for _, f := range first {
		t.add(f.Node, first)
	}
	t.repeat(40, t.propose)
	t.repeat(150, t.confirmReads)
	t.repeat(2500, t.unlessFaultsEnded(t.changeMember))
	t.repeat(4000, t.unlessFaultsEnded(t.injectDiskFault))
}

func (t *trial) add(id sardine.NodeID, first []quorum.Member) {
	m := &member{trial: t, id: id, initialMembers: first, folderNumber: 1, disk: disk.NewMemory(t.driver.Random())}
	t.members = append(t.members, m)
	t.driver.Add(id, m)
}

// repeat runs work at random intervals around a mean.
func (t *trial) repeat(mean sardine.Millis, work func()) {
	t.driver.At(1+sardine.Millis(t.driver.Random().IntN(int(2*mean))), func(sardine.Millis) {
		work()
		t.repeat(mean, work)
	})
}

func (t *trial) unlessFaultsEnded(work func()) func() {
	return func() {
		if !t.faultsEnded {
			work()
		}
	}
}

func (t *trial) running(m *member) bool {
	return m.core != nil && t.driver.Up(m.id)
}

// propose proposes a command at every member that considers itself the leader.
func (t *trial) propose() {
	if t.proposalsPaused {
		return
	}
	for _, m := range t.members {
		if t.running(m) && m.core.IsLeader() {
			t.proposals++
			data := fmt.Appendf(nil, "change %d", t.proposals)
			m.runCore(func() { _, _ = m.core.Propose(t.driver.Local(m.id), data) })
		}
	}
}

// confirmReads starts a confirmed read at every member that considers itself
// the leader.
func (t *trial) confirmReads() {
	for _, m := range t.members {
		if t.running(m) && m.core.IsLeader() {
			highest := t.checker.highest
			m.runCore(func() {
				if ticket, err := m.core.ConfirmLeadership(t.driver.Local(m.id)); err == nil {
					m.reads[ticket] = highest
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

// changeMember performs one step of a member's replacement: a learner is added,
// a member is removed, preferably one with a damaged folder, and the learner is
// promoted. Sometimes it also requests the promotion of a random member.
func (t *trial) changeMember() {
	l := t.leader()
	if l == nil || t.driver.Now() < t.membersFixedUntil {
		return
	}
	list := l.core.Members()
	random := t.driver.Random()
	learner := slices.IndexFunc(list, func(m quorum.Member) bool { return m.Learner })
	switch {
	case learner >= 0 && len(list) <= t.options.Members:
		t.proposeChange(l, quorum.MemberChange{Kind: quorum.Promote, Member: list[learner]})
	case learner >= 0:
		t.proposeChange(l, quorum.MemberChange{Kind: quorum.Remove, Member: t.memberToRemove(list)})
	default:
		t.added++
		id := sardine.NodeID(fmt.Sprintf("n%d", t.added))
		if t.proposeChange(l, quorum.MemberChange{Kind: quorum.AddLearner, Member: quorum.Member{Node: id, Address: "none"}}) {
			t.add(id, nil)
		}
	}
	if random.IntN(3) == 0 {
		t.proposeChange(l, quorum.MemberChange{Kind: quorum.Promote, Member: list[random.IntN(len(list))]})
	}
}

// memberToRemove returns a listed member with a damaged folder, or a random
// one.
func (t *trial) memberToRemove(list []quorum.Member) quorum.Member {
	for _, m := range t.members {
		at := slices.IndexFunc(list, func(l quorum.Member) bool { return l.Node == m.id })
		if t.damagedNodes[m.id] && at >= 0 {
			return list[at]
		}
	}
	return list[t.driver.Random().IntN(len(list))]
}

func (t *trial) proposeChange(l *member, change quorum.MemberChange) bool {
	if l.core == nil {
		return false
	}
	var err error
	l.runCore(func() { _, err = l.core.ChangeMember(t.driver.Local(l.id), change) })
	if err == nil {
		t.report.Changes++
	}
	return err == nil && !codes.Is(err, codes.InvariantBroken)
}

// injectDiskFault fills a disk, fails a sync, or damages or loses the folder of
// a member.
func (t *trial) injectDiskFault() {
	random := t.driver.Random()
	m := t.members[random.IntN(len(t.members))]
	switch random.IntN(4) {
	case 0:
		m.disk.LimitFree(int64(random.IntN(300)))
	case 1:
		m.disk.FailSyncs(random.IntN(3), 1)
	case 2:
		t.damageFile(m)
	default:
		t.loseData(m)
	}
}

// loseData empties the folder of a crashed member, as an operator may do to get
// it running again. The member must not vote until it has caught up.
func (t *trial) loseData(m *member) {
	if !t.crashForDataLoss(m) {
		return
	}
	t.dataLost = true
	t.report.DataLosses++
	m.disk = disk.NewMemory(t.driver.Random())
	m.folderNumber++
	m.acked = 0
	m.vote = quorum.HardState{}
}

// crashForDataLoss reports whether a member may lose data: only one member in a
// run may, while the member list does not change, so that a quorum is left. If
// so, it crashes the member and restarts it a second later.
func (t *trial) crashForDataLoss(m *member) bool {
	if t.dataLost || t.options.Members < 3 || !t.settled() {
		return false
	}
	t.membersFixedUntil = t.driver.Now() + membersFixedFor
	t.driver.Crash(m.id)
	t.driver.At(sardine.Second, func(sardine.Millis) { t.driver.Restart(m.id) })
	return true
}

// settled reports whether all running members agree on a list of full size, and
// no initial member, listed or not, may still take part in the bootstrap of the
// site.
func (t *trial) settled() bool {
	l := t.leader()
	if l == nil || len(l.core.Members()) != t.options.Members || t.listedVoters(l) != t.options.Members {
		return false
	}
	for _, m := range t.members {
		if m.initialMembers != nil && !m.wasSettled {
			return false
		}
		if t.listsVoter(l, m.id) && (!m.wasSettled || m.core != nil && !slices.Equal(m.core.Members(), l.core.Members())) {
			return false
		}
	}
	return true
}

// damageFile flips a bit in a file of a member.
func (t *trial) damageFile(m *member) {
	if !t.crashForDataLoss(m) {
		return
	}
	names, _ := m.disk.List()
	for _, name := range names {
		if name != "identity" && m.disk.FlipBit(name, 30) {
			t.dataLost = true
			t.damagedNodes[m.id] = true
			return
		}
	}
}
