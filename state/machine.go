package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Bounds on the stored state.
const (
	maxRevisions = 50
	// maxDocumentBytes bounds the total size of the documents in a team's
	// revisions. The newest revision is kept even if it is larger.
	maxDocumentBytes = 1 << 20
	maxChangeResults = 2000
	// DefaultPoisonLimit is the number of failures after which a request is rejected
	// if its strikes set no other limit.
	DefaultPoisonLimit = 2
	// ClaimRetention is how long a claim and its answer are stored.
	ClaimRetention = WallTime(24 * 3600 * 1000)
	// TombstoneRetention is how long an expired key is rejected.
	TombstoneRetention = 7 * ClaimRetention
	// PoisonRetention is how long a fingerprint's strikes count.
	PoisonRetention = ClaimRetention
	// MinStrikeInterval is the minimum time between a doubtful failure and the last
	// counted one of the same request for both to count. Failures with one common
	// cause, such as the crash of a fabric domain, come closer together.
	MinStrikeInterval = WallTime(1000)
	// MaxClaims bounds the number of stored claims.
	MaxClaims = 50_000
	// MaxClaimBytes bounds the total size of the workspaces, keys, fingerprints
	// and answers of all claims.
	MaxClaimBytes = 16 << 20
	// MaxAnswerBytes bounds one stored answer. A request with a longer answer is
	// recorded as ClaimUnknown.
	MaxAnswerBytes = 64 << 10
	// MaxTombstones bounds the number of tombstones and claims together, because
	// every claim that expires becomes a tombstone.
	MaxTombstones = 300_000
	// MaxPoisons bounds the number of fingerprints with strikes. Those that are
	// not yet rejected are evicted first, the oldest of them before the others.
	MaxPoisons = 10_000
)

// claimName is a workspace and an idempotency key, separated by a zero byte.
type claimName string

func newClaimName(w sardine.Workspace, key string) claimName {
	return claimName(string(w) + "\x00" + key)
}

func (n claimName) hash() uint64 {
	return xxhash.Sum64String(string(n))
}

type team struct {
	revisions []Revision     // oldest first, at most maxRevisions
	changes   []ChangeResult // oldest first, at most maxChangeResults
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	index        uint64
	fleetIndex   uint64 // index of the last command on targets, groups or ownership
	at           WallTime
	entries      map[sardine.NodeID]JoinEntry
	slots        budgetSlots
	teams        map[sardine.Team]*team
	targets      map[sardine.VMID]Target
	departed     pastTargets
	dropped      pastTargets // known once, out of contact now
	groups       map[sardine.GroupID]sardine.Group
	owners       map[sardine.VMID]Owner
	claims       map[claimName]Claim
	claimBytes   int
	claimExpiry  *expirySet[claimName]
	tombstones   *expirySet[uint64]
	poisonIndex  uint64 // index of the last change to poisons
	poisons      map[string]Poison
	poisonExpiry *expirySet[string]
	tokens       map[string]Token
	layout       PutLayout
	// trafficOpen is set once callers have sent their first requests.
	trafficOpen bool
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{
		entries:      make(map[sardine.NodeID]JoinEntry),
		slots:        newBudgetSlots(),
		teams:        make(map[sardine.Team]*team),
		targets:      make(map[sardine.VMID]Target),
		departed:     newPastTargets(),
		dropped:      newPastTargets(),
		groups:       make(map[sardine.GroupID]sardine.Group),
		owners:       make(map[sardine.VMID]Owner),
		claims:       make(map[claimName]Claim),
		claimExpiry:  newExpirySet[claimName](),
		tombstones:   newExpirySet[uint64](),
		poisons:      make(map[string]Poison),
		poisonExpiry: newExpirySet[string](),
		tokens:       make(map[string]Token),
	}
}

// Index returns the index of the last applied entry.
func (m *Machine) Index() uint64 {
	return m.index
}

// FleetIndex returns the index of the last applied command on targets, groups or
// ownership. While it is unchanged, so are they.
func (m *Machine) FleetIndex() uint64 {
	return m.fleetIndex
}

// Time returns the highest timestamp applied.
func (m *Machine) Time() WallTime {
	return m.at
}

// Skip advances the applied index past entries that are not sent to this machine.
func (m *Machine) Skip(index uint64) {
	m.index = max(m.index, index)
}

// Apply executes the command at index with the leader's timestamp. Entries at or
// below Index are ignored. Indexes need not be consecutive: entries that hold no
// command are skipped.
func (m *Machine) Apply(index uint64, at WallTime, c Command) Result {
	if index <= m.index {
		return Result{Index: index}
	}
	m.index = index
	m.at = max(m.at, at)
	m.expire()
	r := m.execute(c)
	if r.Index == 0 {
		r.Index = index
	}
	return r
}

func (m *Machine) execute(c Command) Result {
	if concernsFleet(c) {
		m.fleetIndex = m.index
	}
	switch c := c.(type) {
	case JoinEntry:
		return m.joinEntry(c)
	case LeaveEntry:
		return m.leaveEntry(c)
	case ChangeSettings:
		return m.changeSettings(c)
	case PutLayout:
		return m.putLayout(c)
	case OpenTraffic:
		m.trafficOpen = true
		return Result{}
	case TargetUp:
		return m.targetUp(c)
	case TargetDown:
		return m.targetDown(c)
	case TargetLeaving:
		return m.targetLeaving(c)
	case AssignGroup:
		return m.assignGroup(c)
	case MoveGroup:
		return m.moveGroup(c)
	case FreeMember:
		return m.freeMember(c)
	case ClaimKey:
		return m.claimKey(c)
	case FinishClaim:
		return m.finishClaim(c)
	case DropClaim:
		return m.dropClaim(c)
	default:
		return m.executePoisonOrToken(c)
	}
}

func concernsFleet(c Command) bool {
	switch c.(type) {
	case TargetUp, TargetDown, TargetLeaving, AssignGroup, MoveGroup, FreeMember:
		return true
	default:
		return false
	}
}

func (m *Machine) executePoisonOrToken(c Command) Result {
	switch c := c.(type) {
	case Strike:
		return m.strike(c)
	case ReleasePoison:
		m.dropPoison(string(c.Fingerprint))
		return Result{}
	case PutToken:
		m.tokens[string(c.Token.Hash)] = c.Token
		return Result{}
	case DropToken:
		delete(m.tokens, string(c.Hash))
		return Result{}
	default:
		return Result{Err: codes.New(codes.Internal, "unknown command %T", c)}
	}
}

func (m *Machine) joinEntry(c JoinEntry) Result {
	old, known := m.entries[c.Node]
	if known && old.Incarnation > c.Incarnation {
		return Result{Err: codes.New(codes.Superseded, "entry node %s has joined with incarnation %d, this is %d", c.Node, old.Incarnation, c.Incarnation)}
	}
	if known && old.Incarnation < c.Incarnation {
		m.markClaimsUnknown(old)
	}
	m.entries[c.Node] = c
	m.slots.assign(c, !m.trafficOpen, m.at)
	return Result{}
}

func (m *Machine) leaveEntry(c LeaveEntry) Result {
	old, known := m.entries[c.Node]
	if !known || old.Incarnation != c.Incarnation {
		return Result{Err: codes.New(codes.UnknownMember, "entry node %s incarnation %d is not a member", c.Node, c.Incarnation)}
	}
	m.markClaimsUnknown(old)
	delete(m.entries, c.Node)
	m.slots.release(c, m.at)
	return Result{}
}

// markClaimsUnknown marks the running claims of an incarnation that has ended:
// whether their requests ran can't be determined any more.
func (m *Machine) markClaimsUnknown(e JoinEntry) {
	for name, c := range m.claims {
		if c.State == ClaimRunning && c.Node == e.Node && c.Incarnation <= e.Incarnation {
			c.State = ClaimUnknown
			m.claims[name] = c
		}
	}
}

func (m *Machine) changeSettings(c ChangeSettings) Result {
	t := m.teams[c.Team]
	if t == nil {
		t = &team{}
	}
	if first, seen := t.result(c.ChangeID); seen {
		return Result{Index: first.Index, Version: first.Version, Repeat: true}
	}
	current := t.version()
	if c.Base != current {
		return Result{Version: current, Err: codes.New(codes.VersionRace, "team %s is at version %d, the change is based on %d", c.Team, current, c.Base)}
	}
	next := Revision{
		Version:  current + 1,
		Index:    m.index,
		At:       m.at,
		ChangeID: c.ChangeID,
		Author:   c.Author,
		Path:     c.Path,
		Document: c.Document,
	}
	t.revisions = keepWithinBytes(keepLast(append(t.revisions, next), maxRevisions))
	t.changes = keepLast(append(t.changes, ChangeResult{ChangeID: c.ChangeID, Version: next.Version, Index: m.index}), maxChangeResults)
	m.teams[c.Team] = t
	return Result{Version: next.Version}
}

func keepLast[T any](items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	return slices.Clone(items[len(items)-limit:])
}

// keepWithinBytes drops the oldest revisions so that the documents of the others
// take at most maxDocumentBytes.
func keepWithinBytes(revisions []Revision) []Revision {
	bytes, first := 0, len(revisions)-1
	for i := len(revisions) - 1; i >= 0; i-- {
		bytes += len(revisions[i].Document)
		if bytes > maxDocumentBytes {
			break
		}
		first = i
	}
	if first <= 0 {
		return revisions
	}
	return slices.Clone(revisions[first:])
}

// DropHistory drops what an entry node does not need: old revisions and change ids. A
// resent change then fails with codes.VersionRace, which changes nothing either.
func (m *Machine) DropHistory() {
	for _, t := range m.teams {
		t.changes = nil
		if n := len(t.revisions); n > 1 {
			t.revisions = slices.Clone(t.revisions[n-1:])
		}
	}
}

func (t *team) version() sardine.Version {
	if len(t.revisions) == 0 {
		return 0
	}
	return t.revisions[len(t.revisions)-1].Version
}

func (t *team) result(changeID string) (ChangeResult, bool) {
	for i := len(t.changes) - 1; i >= 0; i-- {
		if t.changes[i].ChangeID == changeID {
			return t.changes[i], true
		}
	}
	return ChangeResult{}, false
}

func (m *Machine) targetUp(c TargetUp) Result {
	old, known := m.targets[c.Target.VM]
	if known && old.Incarnation > c.Target.Incarnation {
		return Result{Err: codes.New(codes.Superseded, "target %s has announced incarnation %d, this is %d", c.Target.VM, old.Incarnation, c.Target.Incarnation)}
	}
	m.departed.resolve(c.Target.VM, c.Target.Incarnation, m.at)
	if known && old.Incarnation == c.Target.Incarnation && old.Leaving || m.departed.has(c.Target.VM, c.Target.Incarnation) {
		c.Target.Leaving = true
	}
	if c.Target.Leaving {
		m.departed.record(c.Target.VM, c.Target.Incarnation, m.at)
	}
	if known && old.Incarnation < c.Target.Incarnation {
		m.degradeGroupOf(c.Target.VM)
	}
	m.targets[c.Target.VM] = c.Target
	return Result{}
}

func (m *Machine) targetDown(c TargetDown) Result {
	old, known := m.targets[c.VM]
	if known && old.Incarnation == c.Incarnation {
		delete(m.targets, c.VM)
		if old.Leaving {
			m.departed.record(c.VM, c.Incarnation, m.at)
		} else {
			m.dropped.record(c.VM, c.Incarnation, m.at)
		}
		m.degradeGroupOf(c.VM)
	}
	return Result{}
}

func (m *Machine) targetLeaving(c TargetLeaving) Result {
	old, known := m.targets[c.VM]
	i := c.Incarnation
	if i == 0 { // the caller names none
		i = m.newestIncarnation(c.VM)
	}
	if !known || old.Incarnation <= i {
		m.departed.record(c.VM, i, m.at)
	}
	if !known || old.Incarnation != i {
		return Result{Err: codes.New(codes.UnknownMember, "target %s incarnation %d is not known", c.VM, i)}
	}
	old.Leaving = true
	m.targets[c.VM] = old
	return Result{}
}

// newestIncarnation returns the newest known incarnation of a VM, 0 if none is known.
func (m *Machine) newestIncarnation(vm sardine.VMID) sardine.Incarnation {
	return max(m.targets[vm].Incarnation, m.dropped.incarnations[vm], m.departed.incarnations[vm])
}
