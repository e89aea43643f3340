package lease

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// record is what the ledger knows of one joined entry node.
type record struct {
	entry   state.JoinEntry
	applied uint64         // highest index that the node reported as applied
	serves  sardine.Millis // end of the serving lease as counted here
	holds   sardine.Millis // end of the holding lease as counted here
	ended   bool           // being replaced, no more grants
}

// Ledger is the leader's account of leases. It is not safe for concurrent use.
type Ledger struct {
	serving  sardine.Millis
	holding  sardine.Millis
	defect   Defect
	leading  bool
	term     uint64
	floor    uint64 // highest index that may have been told to be in force
	records  map[sardine.NodeID]*record
	holders  map[sardine.Team][]revision
	anyHolds bool
}

// New returns a ledger that does not lead.
func New(options ...Option) *Ledger {
	l := &Ledger{serving: Serving, holding: Holding}
	for _, o := range options {
		o(l)
	}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.leading = false
	l.floor = 0
	l.records = make(map[sardine.NodeID]*record)
	l.holders = make(map[sardine.Team][]revision)
	l.anyHolds = false
}

// Lead starts a term. The caller has applied the first entry of its own term,
// at index, so that entries are all that any earlier leader may have granted a
// lease to. Every one of them is taken to hold full leases from now on.
func (l *Ledger) Lead(now sardine.Millis, term, index uint64, entries []state.JoinEntry) {
	l.reset()
	l.leading = true
	l.term = term
	l.floor = index
	for _, e := range entries {
		r := &record{entry: e, serves: now + Allowed(l.serving), holds: now + Allowed(l.holding)}
		if l.defect == DefectTrustNew {
			r.serves, r.holds = now, now
		}
		l.records[e.Node] = r
	}
}

// Resign ends the term: nothing is granted and nothing is in force.
func (l *Ledger) Resign() {
	l.reset()
}

// Leading reports whether a term is under way, and which.
func (l *Ledger) Leading() (term uint64, leading bool) {
	return l.term, l.leading
}

// Joined takes in a JoinEntry that was applied. A new incarnation holds no lease
// before its first grant.
func (l *Ledger) Joined(e state.JoinEntry) {
	old, known := l.records[e.Node]
	if known && old.entry.Incarnation >= e.Incarnation {
		old.entry.Address = e.Address
		return
	}
	l.records[e.Node] = &record{entry: e}
}

// Left takes in a LeaveEntry that was applied: the node stopped serving before
// it left, its leases have lapsed, or an operator has declared it gone.
func (l *Ledger) Left(n sardine.NodeID, i sardine.Incarnation) {
	if r, known := l.records[n]; known && r.entry.Incarnation == i {
		delete(l.records, n)
	}
}

// MayJoin reports whether a JoinEntry may be proposed now, and if not, when it
// may. An earlier incarnation keeps its claim until its serving lease has
// lapsed; its holding lease ends with its listener, which a process at the same
// address has taken over. From the first true answer the earlier incarnation
// gets no more grants.
func (l *Ledger) MayJoin(now sardine.Millis, e state.JoinEntry) (bool, sardine.Millis) {
	old, known := l.records[e.Node]
	if !known || old.entry.Incarnation > e.Incarnation {
		return true, now // Apply answers it
	}
	if old.entry.Incarnation == e.Incarnation {
		// While a LeaveEntry is under way, a JoinEntry that overtook it would be
		// undone together with the leases granted since.
		return !old.ended, now + endingPause
	}
	until := old.serves
	if old.entry.Address != e.Address {
		until = l.end(old)
	}
	if now < until && l.defect != DefectEarlyReplace {
		return false, until
	}
	old.ended = true
	return true, now
}

// MayRemove reports whether a LeaveEntry for a silent node may be proposed now,
// and if not, when. From the first true answer the node gets no more grants.
func (l *Ledger) MayRemove(now sardine.Millis, n sardine.NodeID) (bool, sardine.Millis) {
	r, known := l.records[n]
	if !known {
		return true, now
	}
	if until := l.end(r); now < until {
		return false, until
	}
	r.ended = true
	return true, now
}

// end returns when the node can serve nothing any more.
func (l *Ledger) end(r *record) sardine.Millis {
	if !l.anyHolds {
		return r.serves
	}
	return max(r.serves, r.holds)
}

// Grant is a lease for one entry node.
type Grant struct {
	Sequence uint64         // of the request that it answers
	Serving  sardine.Millis // length of the serving lease from the sending of that request
	Holding  sardine.Millis // length of the holding lease, 0 if no team holds changes
	Floor    uint64         // index that the node must have applied before it serves
}

// Granted grants leases for the request with the given sequence. The caller has
// confirmed its leadership by a quorum round that started after the request
// arrived and ended before now. Errors: codes.NotLeader, codes.UnknownMember,
// codes.Superseded.
func (l *Ledger) Granted(now sardine.Millis, n sardine.NodeID, i sardine.Incarnation, sequence, applied uint64) (Grant, error) {
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
	if r.ended {
		return Grant{}, codes.New(codes.UnknownMember, "entry node %s incarnation %d is being replaced or removed", n, i)
	}
	r.applied = max(r.applied, applied)
	r.serves = max(r.serves, now+Allowed(l.serving))
	g := Grant{Sequence: sequence, Serving: l.serving, Floor: l.floor}
	if l.anyHolds {
		r.holds = max(r.holds, now+Allowed(l.holding))
		g.Holding = l.holding
	}
	if l.defect == DefectNoFloor {
		g.Floor = 0
	}
	return g, nil
}

// Verdict tells whether an index is in force.
type Verdict struct {
	InForce bool
	Waiting []sardine.NodeID // nodes that may serve an older state, sorted
	Until   sardine.Millis   // instant at which the last of their leases has lapsed
}

// InForce reports whether every entry node that may serve has applied index,
// which this node has committed and applied. A true answer is final: from then
// on no node gets a lease without having applied index.
func (l *Ledger) InForce(now sardine.Millis, index uint64) Verdict {
	return l.inForce(now, index, func(r *record) sardine.Millis { return r.serves })
}

func (l *Ledger) inForce(now sardine.Millis, index uint64, end func(*record) sardine.Millis) Verdict {
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

// Floor returns the highest index that may have been told to be in force.
func (l *Ledger) Floor() uint64 {
	return l.floor
}

// Lowest returns the lowest index applied by a node that may serve, or the floor
// if none may.
func (l *Ledger) Lowest(now sardine.Millis) uint64 {
	lowest, found := uint64(math.MaxUint64), false
	for _, r := range l.records {
		if r.serves > now {
			lowest, found = min(lowest, r.applied), true
		}
	}
	if !found {
		return l.floor
	}
	return lowest
}

// Holder is one entry node as the ledger knows it, for dumps and for the
// assignment of relays.
type Holder struct {
	Entry   state.JoinEntry
	Applied uint64
	Serves  sardine.Millis // end of the serving lease as counted here
	Holds   sardine.Millis // end of the holding lease as counted here
}

// Live reports whether the node may hold a serving lease.
func (h Holder) Live(now sardine.Millis) bool {
	return h.Serves > now
}

// Holders returns every joined entry node, sorted by name.
func (l *Ledger) Holders() []Holder {
	all := make([]Holder, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, Holder{Entry: r.entry, Applied: r.applied, Serves: r.serves, Holds: r.holds})
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Compare(a.Entry.Node, b.Entry.Node) })
	return all
}
