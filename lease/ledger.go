package lease

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// leaseRecord is the ledger's record of one joined entry node.
type leaseRecord struct {
	entry      state.JoinEntry
	applied    uint64         // highest index that the node reported as applied
	servingEnd sardine.Millis // end of the serving lease on this node's clock
	holdingEnd sardine.Millis // end of the holding lease on this node's clock
	granted    bool           // a lease in this term
	noGrants   bool           // being replaced or removed, gets no more grants
}

// Ledger is the leader's record of leases. It is not safe for concurrent use.
type Ledger struct {
	serving         sardine.Millis
	holding         sardine.Millis
	defect          Defect
	leading         bool
	term            uint64
	floor           uint64 // highest index that may have been reported as in force
	records         map[sardine.NodeID]*leaseRecord
	revisions       map[sardine.Team][]revision
	anyHoldsChanges bool
}

// New returns a ledger that does not lead.
func New(options ...Option) *Ledger {
	l := &Ledger{serving: DefaultServing, holding: DefaultHolding}
	for _, o := range options {
		o(l)
	}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.leading = false
	l.floor = 0
	l.records = make(map[sardine.NodeID]*leaseRecord)
	l.revisions = make(map[sardine.Team][]revision)
	l.anyHoldsChanges = false
}

// Lead starts a term. The caller has applied the first entry of its own term, at
// index, so entries contains every node to which an earlier leader may have granted a
// lease. Each of them is assumed to hold full leases from now on.
func (l *Ledger) Lead(now sardine.Millis, term, index uint64, entries []state.JoinEntry) {
	l.reset()
	l.leading = true
	l.term = term
	l.floor = index
	for _, e := range entries {
		r := &leaseRecord{entry: e, servingEnd: now + AddDrift(l.serving), holdingEnd: now + AddDrift(l.holding)}
		if l.defect == DefectTrustNew {
			r.servingEnd, r.holdingEnd = now, now
		}
		l.records[e.Node] = r
	}
}

// Resign ends the term: nothing is granted and nothing is in force.
func (l *Ledger) Resign() {
	l.reset()
}

// Leading reports whether this node leads, and returns the term.
func (l *Ledger) Leading() (term uint64, leading bool) {
	return l.term, l.leading
}

// RecordJoin records an applied JoinEntry. A new incarnation holds no lease before its
// first grant.
func (l *Ledger) RecordJoin(e state.JoinEntry) {
	old, known := l.records[e.Node]
	if known && old.entry.Incarnation >= e.Incarnation {
		old.entry.Address = e.Address
		return
	}
	l.records[e.Node] = &leaseRecord{entry: e}
}

// RecordLeave records an applied LeaveEntry: the node stopped serving before it left,
// its leases have expired, or an operator has declared it gone.
func (l *Ledger) RecordLeave(n sardine.NodeID, i sardine.Incarnation) {
	if r, known := l.records[n]; known && r.entry.Incarnation == i {
		delete(l.records, n)
	}
}

// MayJoin reports whether a JoinEntry may be proposed now, and if not, when it may.
// An earlier incarnation blocks a new one until its serving lease has expired. At the
// same address its holding lease does not count: the new process has bound the
// address, so the earlier one no longer listens. At another address both leases
// count. Once MayJoin has returned true, the earlier incarnation gets no more grants.
func (l *Ledger) MayJoin(now sardine.Millis, e state.JoinEntry) (bool, sardine.Millis) {
	old, known := l.records[e.Node]
	if !known || old.entry.Incarnation > e.Incarnation {
		return true, now // the state machine accepts or rejects it
	}
	if old.entry.Incarnation == e.Incarnation {
		// If a LeaveEntry is pending, a JoinEntry committed before it would be undone
		// by it, together with the leases granted in between.
		return !old.noGrants, now + removalRetryAfter
	}
	until := old.servingEnd
	if old.entry.Address != e.Address {
		until = l.lastEnd(old)
	}
	if now < until && l.defect != DefectEarlyReplace {
		return false, until
	}
	old.noGrants = true
	return true, now
}

// MayRemove reports whether a LeaveEntry for a silent node may be proposed now, and if
// not, when it may. Once it has returned true, the node gets no more grants.
func (l *Ledger) MayRemove(now sardine.Millis, n sardine.NodeID) (bool, sardine.Millis) {
	r, known := l.records[n]
	if !known {
		return true, now
	}
	if until := l.lastEnd(r); now < until {
		return false, until
	}
	r.noGrants = true
	return true, now
}

// lastEnd returns when the node can no longer serve any team.
func (l *Ledger) lastEnd(r *leaseRecord) sardine.Millis {
	if !l.anyHoldsChanges {
		return r.servingEnd
	}
	return max(r.servingEnd, r.holdingEnd)
}

// Grant is a lease for one entry node.
type Grant struct {
	Sequence uint64         // sequence number of the request that it answers
	Serving  sardine.Millis // length of the serving lease, from when the node sent that request
	Holding  sardine.Millis // length of the holding lease, 0 if no team has the cut policy hold_changes
	Floor    uint64         // index that the node must have applied before it may serve
}

// Grant grants leases for the request with the given sequence number. The caller has
// confirmed its leadership by a quorum round that started after the request arrived
// and ended before now. Errors: codes.NotLeader, codes.UnknownMember,
// codes.Superseded.
func (l *Ledger) Grant(now sardine.Millis, n sardine.NodeID, i sardine.Incarnation, sequence, applied uint64) (Grant, error) {
	if !l.leading {
		return Grant{}, codes.New(codes.NotLeader, "this control node does not lead")
	}
	r, known := l.records[n]
	if !known || r.entry.Incarnation < i {
		return Grant{}, codes.New(codes.UnknownMember, "entry node %s incarnation %d has not joined", n, i)
	}
	if r.entry.Incarnation > i {
		return Grant{}, codes.New(codes.Superseded, "entry node %s has joined with incarnation %d", n, r.entry.Incarnation)
	}
	if r.noGrants {
		return Grant{}, codes.New(codes.UnknownMember, "entry node %s incarnation %d is being replaced or removed", n, i)
	}
	r.applied = max(r.applied, applied)
	r.granted = true
	r.servingEnd = max(r.servingEnd, now+AddDrift(l.serving))
	g := Grant{Sequence: sequence, Serving: l.serving, Floor: l.floor}
	if l.anyHoldsChanges {
		r.holdingEnd = max(r.holdingEnd, now+AddDrift(l.holding))
		g.Holding = l.holding
	}
	if l.defect == DefectNoFloor {
		g.Floor = 0
	}
	return g, nil
}

// Verdict reports whether an index is in force.
type Verdict struct {
	InForce bool
	Waiting []sardine.NodeID // nodes that may still serve an older state, sorted
	Until   sardine.Millis   // when the last of their leases expires
}

// InForce reports whether every entry node that may serve has applied index. This node
// must have applied index itself. A true verdict is final: from then on, a node must
// have applied index before it serves under a new lease.
func (l *Ledger) InForce(now sardine.Millis, index uint64) Verdict {
	return l.evaluate(now, index, func(r *leaseRecord) sardine.Millis { return r.servingEnd })
}

func (l *Ledger) evaluate(now sardine.Millis, index uint64, end func(*leaseRecord) sardine.Millis) Verdict {
	if !l.leading {
		return Verdict{Until: math.MaxInt64}
	}
	v := Verdict{InForce: true, Until: now}
	for n, r := range l.records {
		if r.applied >= index || end(r) <= now {
			continue
		}
		v.InForce = false
		v.Waiting = append(v.Waiting, n)
		v.Until = max(v.Until, end(r))
	}
	slices.Sort(v.Waiting)
	if v.InForce {
		l.floor = max(l.floor, index)
	}
	return v
}

// Missing returns the entry nodes that may have requests in flight and hold no lease from
// this leader, sorted. They did not find it after the election, or are cut off from it.
func (l *Ledger) Missing(now sardine.Millis) []sardine.NodeID {
	var missing []sardine.NodeID
	for n, r := range l.records {
		neverServed := r.servingEnd == 0
		if !neverServed && (!r.granted || r.servingEnd <= now) {
			missing = append(missing, n)
		}
	}
	slices.Sort(missing)
	return missing
}

// Floor returns the highest index that may have been reported as in force.
func (l *Ledger) Floor() uint64 {
	return l.floor
}

// LowestApplied returns the lowest index applied by a node that may serve, or the
// floor if no node may serve.
func (l *Ledger) LowestApplied(now sardine.Millis) uint64 {
	lowest, found := uint64(math.MaxUint64), false
	for _, r := range l.records {
		if r.servingEnd > now {
			lowest, found = min(lowest, r.applied), true
		}
	}
	if !found {
		return l.floor
	}
	return lowest
}

// Holder is the ledger's view of one entry node, for dumps and for the assignment of
// relays.
type Holder struct {
	Entry      state.JoinEntry
	Applied    uint64
	ServingEnd sardine.Millis // end of the serving lease on this node's clock
	HoldingEnd sardine.Millis // end of the holding lease on this node's clock
}

// Live reports whether the node may hold a serving lease.
func (h Holder) Live(now sardine.Millis) bool {
	return h.ServingEnd > now
}

// Holders returns every joined entry node, sorted by name.
func (l *Ledger) Holders() []Holder {
	all := make([]Holder, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, Holder{Entry: r.entry, Applied: r.applied, ServingEnd: r.servingEnd, HoldingEnd: r.holdingEnd})
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Compare(a.Entry.Node, b.Entry.Node) })
	return all
}
