package fleet

import (
	"maps"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Default times of Leader.
const (
	// DefaultGrace is how long after an election no target is declared lost, so
	// that every home can find the new leader and report.
	DefaultGrace = 4 * sardine.Second
	// proposalInterval is the least time before the same command is proposed
	// again.
	proposalInterval = 2 * sardine.Second
)

// LeaderOption configures a Leader.
type LeaderOption func(*Leader)

// WithHomeLease sets how long a home's targets stay confirmed without a message
// from the home.
func WithHomeLease(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.lease = d }
}

// WithGrace sets how long after an election no target is declared lost.
func WithGrace(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.grace = d }
}

// WithOverdue sets the age of an announcement from which a stall of the
// target's group counts against the target. 0 disables the rule.
func WithOverdue(d sardine.Millis) LeaderOption {
	return func(l *Leader) { l.overdue = d }
}

type homeView struct {
	incarnation sardine.Incarnation
	sequence    uint64
	lastContact sardine.Millis
	full        bool                  // a full report of this incarnation was received
	overdue     map[sardine.VMID]bool // targets whose announcement is overdue
}

type targetView struct {
	latest      sardine.Announcement
	at          sardine.Millis // when its home received the latest announcement
	source      sardine.NodeID // the home that reported it
	confirmedBy map[sardine.NodeID]bool
	synced      bool   // the log had the same properties
	index       uint64 // at this fleet index of the log
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
	lease           sardine.Millis
	grace           sardine.Millis
	settleAt        sardine.Millis // no target is declared lost before
	term            uint64
	homes           map[sardine.NodeID]*homeView
	targets         map[sardine.VMID]*targetView
	proposed        map[sardine.VMID]proposal
	sorted          []sardine.VMID // of targets, nil when it must be rebuilt
	logTargets      []state.Target // the log's targets
	logTargetsIndex uint64         // fleet index of the state machine that logTargets is from

	leadSince          sardine.Millis
	overdue            sardine.Millis // age of an announcement from which a stall counts against its target, 0 for never
	observations       *Observations
	servingGroups      map[sardine.VMID]observedKey // by member
	servingGroupsIndex uint64                       // fleet index of the state machine that servingGroups is from
}

// NewLeader returns a Leader without any homes.
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
	l.logTargets = nil
	l.logTargetsIndex = 0
	l.observations = NewObservations()
	l.servingGroups = nil
}

// Lead starts a new term and discards all earlier reports, since the homes may
// have reported to other leaders in between.
func (l *Leader) Lead(now sardine.Millis, term uint64) {
	l.clear()
	l.term = term
	l.settleAt = now + l.grace
	l.leadSince = now
}

// Overdue replaces the list of targets whose announcement to a home is overdue.
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

// Incarnation returns the latest known incarnation of a home, 0 if there is
// none.
func (l *Leader) Incarnation(home sardine.NodeID) sardine.Incarnation {
	if h := l.homes[home]; h != nil {
		return h.incarnation
	}
	return 0
}

// SetSettleTime sets the time from which targets without a report count as lost, in
// place of the end of the grace period.
func (l *Leader) SetSettleTime(at sardine.Millis) {
	l.settleAt = at
}

// RecordContact records a request without a report. It keeps all targets of the home
// confirmed. The answer asks an unknown home for a full report.
func (l *Leader) RecordContact(now sardine.Millis, home sardine.NodeID, incarnation sardine.Incarnation) Ack {
	h, current := l.home(home, incarnation)
	if !current {
		return Ack{}
	}
	l.recordContact(now, h)
	return Ack{WantFull: !h.full}
}

// Merge merges a report. It ignores a report of an earlier incarnation of the
// home, and one that a later report of the home has superseded.
func (l *Leader) Merge(now sardine.Millis, r Report) Ack {
	h, current := l.home(r.Home, r.Incarnation)
	if !current {
		return Ack{Sequence: r.Sequence}
	}
	l.recordContact(now, h)
	if r.Sequence <= h.sequence {
		return Ack{Sequence: r.Sequence, WantFull: !h.full}
	}
	h.sequence = r.Sequence
	if r.Full {
		h.full = true
		l.withdrawHome(r.Home)
	}
	for _, ref := range r.Lost {
		if t := l.targets[ref.VM]; t != nil && t.latest.Incarnation <= ref.Incarnation {
			delete(t.confirmedBy, r.Home)
			l.requestFullReports(t, r.Home)
		}
	}
	for _, s := range r.Statuses {
		l.mergeStatus(now, r.Home, s)
	}
	return Ack{Sequence: r.Sequence, WantFull: !h.full}
}

// requestFullReports has the other homes of a target report in full, if its
// latest status came from a home that has lost it. That home may have read the
// announcement late, and the others don't repeat what was acknowledged.
func (l *Leader) requestFullReports(t *targetView, gone sardine.NodeID) {
	if t.source != gone {
		return
	}
	for node := range t.confirmedBy {
		if h := l.homes[node]; h != nil {
			h.full = false
			t.at = 0
		}
	}
}

// recordContact records a message from a home. After a silence of one lease the
// home must report in full: the leader may have dropped its targets, and the
// home doesn't repeat what was acknowledged.
func (l *Leader) recordContact(now sardine.Millis, h *homeView) {
	if h.lastContact+l.lease <= now {
		h.full = false
	}
	h.lastContact = max(h.lastContact, now)
}

// home returns the view of a home; current is false if a later incarnation of
// it is known.
func (l *Leader) home(node sardine.NodeID, incarnation sardine.Incarnation) (h *homeView, current bool) {
	h = l.homes[node]
	if h != nil && h.incarnation > incarnation {
		return h, false
	}
	if h == nil || h.incarnation < incarnation {
		l.withdrawHome(node)
		h = &homeView{incarnation: incarnation}
		l.homes[node] = h
	}
	return h, true
}

// withdrawHome removes a home's confirmation of all its targets.
func (l *Leader) withdrawHome(node sardine.NodeID) {
	for _, t := range l.targets {
		delete(t.confirmedBy, node)
	}
}

func (l *Leader) mergeStatus(now sardine.Millis, home sardine.NodeID, s Status) {
	at := now - max(s.Age, 0)
	t := l.targets[s.VM]
	if t == nil || t.latest.Incarnation < s.Incarnation {
		t = &targetView{latest: s.Announcement, at: at, confirmedBy: make(map[sardine.NodeID]bool, 1)}
		l.targets[s.VM] = t
		l.sorted = nil
	}
	if t.latest.Incarnation > s.Incarnation {
		return
	}
	t.confirmedBy[home] = true
	if at >= t.at && !superseded(t.latest, s.Announcement) {
		t.latest = s.Announcement
		t.at, t.source = at, home
		t.synced = false
	}
}

// Live returns a target's newest status. It is false if the target does not
// count as alive.
func (l *Leader) Live(now sardine.Millis, vm sardine.VMID) (Status, bool) {
	t := l.targets[vm]
	if t == nil || !l.isAlive(now, t) {
		return Status{}, false
	}
	return Status{Announcement: t.latest, Age: now - t.at}, true
}

// isAlive reports whether a target counts as alive: by its announcements unless
// entry nodes observe a stall, or else by the answers that entry nodes observe.
func (l *Leader) isAlive(now sardine.Millis, t *targetView) bool {
	ref := Ref{VM: t.latest.VM, Incarnation: t.latest.Incarnation}
	if l.isConfirmed(now, t) {
		return !l.observedStalled(now, t.latest.Kind, ref)
	}
	return l.observedAlive(now, t.latest.Kind, ref)
}

// isConfirmed reports whether a home has a valid announcement of the target.
func (l *Leader) isConfirmed(now sardine.Millis, t *targetView) bool {
	for node := range t.confirmedBy {
		if l.leaseValid(now, l.homes[node]) {
			return true
		}
	}
	return false
}

func (l *Leader) leaseValid(now sardine.Millis, h *homeView) bool {
	return h != nil && h.lastContact+l.lease > now
}

// Settled reports whether the grace period after the election is over. Until
// then a target for which Live is false may be alive.
func (l *Leader) Settled(now sardine.Millis) bool {
	return now >= l.settleAt
}

// Commands returns the commands that update the log's targets to match the fleet.
// It drops targets that are no longer alive.
func (l *Leader) Commands(now sardine.Millis, m *state.Machine) []state.Command {
	l.readServingGroups(m)
	l.adoptObserved(now, m)
	commands := l.lostTargets(now, m)
	for _, vm := range l.sortedTargets() {
		t := l.targets[vm]
		if !l.isAlive(now, t) {
			if l.Settled(now) {
				delete(l.targets, vm)
				l.sorted = nil
			}
			continue
		}
		commands = append(commands, l.commandsFor(now, m, t)...)
	}
	return commands
}

func (l *Leader) sortedTargets() []sardine.VMID {
	if l.sorted == nil {
		l.sorted = slices.Sorted(maps.Keys(l.targets))
	}
	return l.sorted
}

// targetsInLog returns the log's targets, cached until they change.
func (l *Leader) targetsInLog(m *state.Machine) []state.Target {
	if l.logTargets == nil || l.logTargetsIndex != m.FleetIndex() {
		l.logTargets = m.Targets()
		l.logTargetsIndex = m.FleetIndex()
	}
	return l.logTargets
}

func (l *Leader) lostTargets(now sardine.Millis, m *state.Machine) []state.Command {
	var commands []state.Command
	for _, known := range l.targetsInLog(m) {
		if !l.Settled(now) && !l.observedStalled(now, known.Kind, Ref{VM: known.VM, Incarnation: known.Incarnation}) {
			continue
		}
		t := l.targets[known.VM]
		if t != nil && t.latest.Incarnation >= known.Incarnation && l.isAlive(now, t) {
			continue
		}
		if l.propose(now, known.VM, known.Incarnation, proposedDown) {
			commands = append(commands, state.TargetDown{VM: known.VM, Incarnation: known.Incarnation})
		}
	}
	return commands
}

func (l *Leader) commandsFor(now sardine.Millis, m *state.Machine, t *targetView) []state.Command {
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

// propose reports whether a command is due, which means that the same one was
// not proposed recently.
func (l *Leader) propose(now sardine.Millis, vm sardine.VMID, incarnation sardine.Incarnation, kind uint8) bool {
	last, ok := l.proposed[vm]
	if ok && last.incarnation == incarnation && last.kind == kind && last.at+proposalInterval > now {
		return false
	}
	l.proposed[vm] = proposal{incarnation: incarnation, kind: kind, at: now}
	return true
}

// sameTarget compares the lasting properties except Leaving, which has its own
// command and is never reset within an incarnation.
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

// View is the state of the fleet at one instant.
type View struct {
	leader         *Leader
	now            sardine.Millis
	entriesMissing bool
}

// At returns the state of the fleet at an instant.
func (l *Leader) At(now sardine.Millis) View {
	return View{leader: l, now: now}
}

// WithEntriesMissing returns the view with EntriesMissing set.
func (v View) WithEntriesMissing(missing bool) View {
	v.entriesMissing = missing
	return v
}

// EntriesMissing reports whether some entry node may have requests that it could not
// report to this leader.
func (v View) EntriesMissing() bool {
	return v.entriesMissing
}

// Live returns a target's newest status. It is false if the target does not
// count as alive.
func (v View) Live(vm sardine.VMID) (Status, bool) {
	return v.leader.Live(v.now, vm)
}

// GroupInFlight returns how many requests entry nodes have in flight at a group.
func (v View) GroupInFlight(g sardine.GroupID, e sardine.Epoch) (count int, known bool) {
	return v.leader.GroupInFlight(g, e)
}

// Settled reports whether the grace period after the election is over.
func (v View) Settled() bool {
	return v.leader.Settled(v.now)
}
