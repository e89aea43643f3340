package fleet

import (
	"maps"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Times that Leader uses unless an option says otherwise.
const (
	// DefaultGrace is how long after an election no target is declared lost, so
	// that every home can find the new leader and report.
	DefaultGrace = 4 * sardine.Second
	// proposeAgain is how long a proposed command is not proposed again.
	proposeAgain = 2 * sardine.Second
)

// LeaderOption changes a Leader at its construction.
type LeaderOption func(*Leader)

// WithHomeLease sets how long a silent home vouches for its targets.
func WithHomeLease(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.lease = d }
}

// WithGrace sets how long after an election no target is declared lost.
func WithGrace(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.grace = d }
}

// WithOverdue sets the age of an announcement from which the standstill of its
// target's group counts against the target.
func WithOverdue(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.overdue = d }
}

type homeView struct {
	incarnation sardine.Incarnation
	sequence    uint64
	heard       sardine.Millis
	full        bool                  // a full report of this incarnation was taken
	overdue     map[sardine.VMID]bool // targets that are late with their announcement
}

type targetView struct {
	latest  sardine.Announcement
	at      sardine.Millis // when its home heard what it reported last
	from    sardine.NodeID // that home
	vouched map[sardine.NodeID]bool
	synced  bool   // the log had the same facts
	index   uint64 // at this fleet index of the log
}

type proposal struct {
	incarnation sardine.Incarnation
	kind        uint8
	at          sardine.Millis
}

// The kinds of proposal about a target.
const (
	proposedUp uint8 = iota + 1
	proposedDown
	proposedLeaving
)

// Leader merges the reports of all homes into one view of the fleet.
type Leader struct {
	lease    sardine.Millis
	grace    sardine.Millis
	from     sardine.Millis // nothing is declared lost before
	term     uint64
	homes    map[sardine.NodeID]*homeView
	targets  map[sardine.VMID]*targetView
	proposed map[sardine.VMID]proposal
	sorted   []sardine.VMID // of targets, nil when it must be made anew
	logged   []state.Target // the log's targets
	loggedAt uint64         // fleet index of the machine that logged is from

	leadAt    sardine.Millis
	overdue   sardine.Millis // age of an announcement from which a standstill counts against its target, 0 for never
	witnesses *Witnesses
	memberOf  map[sardine.VMID]witnessKey // groups that serve
	groupsAt  uint64                      // fleet index of the machine that memberOf is from
}

// NewLeader returns a view that knows no home.
func NewLeader(options ...LeaderOption) *Leader {
	l := &Leader{lease: DefaultLease, grace: DefaultGrace}
	for _, option := range options {
		option(l)
	}
	l.clear()
	return l
}

func (l *Leader) clear() {
	l.homes = make(map[sardine.NodeID]*homeView)
	l.targets = make(map[sardine.VMID]*targetView)
	l.proposed = make(map[sardine.VMID]proposal)
	l.sorted = nil
	l.logged = nil
	l.loggedAt = 0
	l.witnesses = NewWitnesses()
	l.memberOf = nil
}

// Lead forgets all earlier reports: this node leads from now on in a new term,
// and the homes may have told others in between.
func (l *Leader) Lead(now sardine.Millis, term uint64) {
	l.clear()
	l.term = term
	l.from = now + l.grace
	l.leadAt = now
}

// Overdue takes the list of all targets that are late with their announcement to
// a home.
func (l *Leader) Overdue(home sardine.NodeID, late []Ref) {
	h := l.homes[home]
	if h == nil {
		return
	}
	h.overdue = make(map[sardine.VMID]bool, len(late))
	for _, r := range late {
		h.overdue[r.VM] = true
	}
}

// Incarnation returns a home's known incarnation, 0 if there is none.
func (l *Leader) Incarnation(home sardine.NodeID) sardine.Incarnation {
	if h := l.homes[home]; h != nil {
		return h.incarnation
	}
	return 0
}

// Settle makes targets that were not heard of count as lost from an instant on,
// instead of after the grace.
func (l *Leader) Settle(at sardine.Millis) {
	l.from = at
}

// Heard notes a request without a report. It keeps alive what the home vouches
// for. The answer asks an unknown home for a full report.
func (l *Leader) Heard(now sardine.Millis, home sardine.NodeID, incarnation sardine.Incarnation) Ack {
	h, current := l.home(home, incarnation)
	if !current {
		return Ack{}
	}
	l.hear(now, h)
	return Ack{WantFull: !h.full}
}

// Take merges a report. A report of an earlier incarnation of the home, or one
// that was overtaken by a later one, changes nothing.
func (l *Leader) Take(now sardine.Millis, r Report) Ack {
	h, current := l.home(r.Home, r.Incarnation)
	if !current {
		return Ack{Sequence: r.Sequence}
	}
	l.hear(now, h)
	if r.Sequence <= h.sequence {
		return Ack{Sequence: r.Sequence, WantFull: !h.full}
	}
	h.sequence = r.Sequence
	if r.Full {
		h.full = true
		l.withdraw(r.Home)
	}
	for _, ref := range r.Lost {
		if t := l.targets[ref.VM]; t != nil && t.latest.Incarnation <= ref.Incarnation {
			delete(t.vouched, r.Home)
			l.askAgain(t, r.Home)
		}
	}
	for _, s := range r.Statuses {
		l.takeStatus(now, r.Home, s)
	}
	return Ack{Sequence: r.Sequence, WantFull: !h.full}
}

// askAgain has the other homes of a target tell all again, if the newest word on it
// came from a home that does not hear it any more: that one may have read it late, and
// the others repeat nothing that was acknowledged.
func (l *Leader) askAgain(t *targetView, gone sardine.NodeID) {
	if t.from != gone {
		return
	}
	for node := range t.vouched {
		if h := l.homes[node]; h != nil {
			h.full = false
			t.at = 0
		}
	}
}

// hear notes that a home is heard of. One that was silent for a lease must tell
// all again: what it vouched for may be forgotten, and it repeats nothing that
// was acknowledged.
func (l *Leader) hear(now sardine.Millis, h *homeView) {
	if h.heard+l.lease <= now {
		h.full = false
	}
	h.heard = max(h.heard, now)
}

// home returns the view of a home; current is false if a later incarnation of
// it is known.
func (l *Leader) home(node sardine.NodeID, incarnation sardine.Incarnation) (h *homeView, current bool) {
	h = l.homes[node]
	if h != nil && h.incarnation > incarnation {
		return h, false
	}
	if h == nil || h.incarnation < incarnation {
		l.withdraw(node)
		h = &homeView{incarnation: incarnation}
		l.homes[node] = h
	}
	return h, true
}

// withdraw removes all that a home vouched for.
func (l *Leader) withdraw(node sardine.NodeID) {
	for _, t := range l.targets {
		delete(t.vouched, node)
	}
}

func (l *Leader) takeStatus(now sardine.Millis, home sardine.NodeID, s Status) {
	at := now - max(s.Age, 0)
	t := l.targets[s.VM]
	if t == nil || t.latest.Incarnation < s.Incarnation {
		t = &targetView{latest: s.Announcement, at: at, vouched: make(map[sardine.NodeID]bool, 1)}
		l.targets[s.VM] = t
		l.sorted = nil
	}
	if t.latest.Incarnation > s.Incarnation {
		return
	}
	t.vouched[home] = true
	if at >= t.at && !overtaken(t.latest, s.Announcement) {
		t.latest = s.Announcement
		t.at, t.from = at, home
		t.synced = false
	}
}

// Live returns a target's newest status. It is false if no home vouches for the
// target.
func (l *Leader) Live(now sardine.Millis, vm sardine.VMID) (Status, bool) {
	t := l.targets[vm]
	if t == nil || !l.vouchedFor(now, t) {
		return Status{}, false
	}
	return Status{Announcement: t.latest, Age: now - t.at}, true
}

// vouchedFor reports whether a target counts as alive.
func (l *Leader) vouchedFor(now sardine.Millis, t *targetView) bool {
	if l.announced(now, t) {
		return !l.disproved(now, t.latest.Kind, Ref{VM: t.latest.VM, Incarnation: t.latest.Incarnation})
	}
	return l.proved(now, t)
}

// announced reports whether a home vouches for the target.
func (l *Leader) announced(now sardine.Millis, t *targetView) bool {
	for node := range t.vouched {
		if l.heardLately(now, l.homes[node]) {
			return true
		}
	}
	return false
}

func (l *Leader) heardLately(now sardine.Millis, h *homeView) bool {
	return h != nil && h.heard+l.lease > now
}

// Settled reports whether the grace after the election is over. Until then a
// target that Live does not know may well be alive.
func (l *Leader) Settled(now sardine.Millis) bool {
	return now >= l.from
}

// Tick returns the commands that bring the log's targets in line with the
// fleet. It forgets targets that nobody has vouched for.
func (l *Leader) Tick(now sardine.Millis, m *state.Machine) []state.Command {
	l.viewGroups(m)
	commands := l.lostTargets(now, m)
	for _, vm := range l.sortedTargets() {
		t := l.targets[vm]
		if !l.vouchedFor(now, t) {
			if l.Settled(now) {
				delete(l.targets, vm)
				l.sorted = nil
			}
			continue
		}
		commands = append(commands, l.newsOf(now, m, t)...)
	}
	return commands
}

func (l *Leader) sortedTargets() []sardine.VMID {
	if l.sorted == nil {
		l.sorted = slices.Sorted(maps.Keys(l.targets))
	}
	return l.sorted
}

// loggedTargets returns the log's targets, read again when they changed.
func (l *Leader) loggedTargets(m *state.Machine) []state.Target {
	if l.logged == nil || l.loggedAt != m.FleetIndex() {
		l.logged = m.Targets()
		l.loggedAt = m.FleetIndex()
	}
	return l.logged
}

func (l *Leader) lostTargets(now sardine.Millis, m *state.Machine) []state.Command {
	var commands []state.Command
	for _, known := range l.loggedTargets(m) {
		if !l.Settled(now) && !l.disproved(now, known.Kind, Ref{VM: known.VM, Incarnation: known.Incarnation}) {
			continue
		}
		t := l.targets[known.VM]
		if t != nil && t.latest.Incarnation >= known.Incarnation && l.vouchedFor(now, t) {
			continue
		}
		if l.propose(now, known.VM, known.Incarnation, proposedDown) {
			commands = append(commands, state.TargetDown{VM: known.VM, Incarnation: known.Incarnation})
		}
	}
	return commands
}

func (l *Leader) newsOf(now sardine.Millis, m *state.Machine, t *targetView) []state.Command {
	if t.synced && t.index == m.FleetIndex() {
		return nil
	}
	want := state.TargetOf(t.latest)
	known, ok := m.Target(want.VM)
	if ok && known.Incarnation > want.Incarnation {
		return nil
	}
	if !ok || known.Incarnation < want.Incarnation || !sameTarget(known, want) {
		if l.propose(now, want.VM, want.Incarnation, proposedUp) {
			return []state.Command{state.TargetUp{Target: want}}
		}
		return nil
	}
	if want.Leaving && !known.Leaving && l.propose(now, want.VM, want.Incarnation, proposedLeaving) {
		return []state.Command{state.TargetLeaving{VM: want.VM, Incarnation: want.Incarnation}}
	}
	t.synced = known.Leaving == want.Leaving
	t.index = m.FleetIndex()
	return nil
}

// propose reports whether a command is due: not the same one was proposed a
// short while ago.
func (l *Leader) propose(now sardine.Millis, vm sardine.VMID, incarnation sardine.Incarnation, kind uint8) bool {
	last, ok := l.proposed[vm]
	if ok && last.incarnation == incarnation && last.kind == kind && last.at+proposeAgain > now {
		return false
	}
	l.proposed[vm] = proposal{incarnation: incarnation, kind: kind, at: now}
	return true
}

// sameTarget compares the lasting properties but for Leaving, which has its own
// command and is never taken back within an incarnation.
func sameTarget(a, b state.Target) bool {
	return a.Kind == b.Kind &&
		a.Address == b.Address &&
		a.DataCentre == b.DataCentre &&
		a.Domain == b.Domain &&
		a.Accelerators == b.Accelerators &&
		a.Service == b.Service &&
		a.ChecksEpoch == b.ChecksEpoch &&
		slices.Equal(a.Loadable, b.Loadable)
}

// View is the fleet at one instant.
type View struct {
	leader *Leader
	now    sardine.Millis
}

// At returns the view of the fleet at an instant.
func (l *Leader) At(now sardine.Millis) View {
	return View{leader: l, now: now}
}

// Live returns a target's newest status. It is false if no home vouches for the
// target.
func (v View) Live(vm sardine.VMID) (Status, bool) {
	return v.leader.Live(v.now, vm)
}

// Flights returns how many requests entry nodes have in flight at a group.
func (v View) Flights(g sardine.GroupID, e sardine.Epoch) (count int, known bool) {
	return v.leader.Flights(g, e)
}

// Settled reports whether the grace after the election is over.
func (v View) Settled() bool {
	return v.leader.Settled(v.now)
}
