package fleet

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Times by which entry nodes' signs count.
const (
	// witnessFor is how long a sign of life vouches for a silent target: some
	// reports of an entry node.
	witnessFor = 2 * sardine.Second
	// stallFor is how long a report of a standstill counts.
	stallFor = 3 * sardine.Second
)

// Sign is what an entry node has seen of a group or a plain target through the
// requests that it has in flight there, or what several of them have.
type Sign struct {
	Group       sardine.GroupID // engines only
	Epoch       sardine.Epoch   // engines only
	VM          sardine.VMID    // plain targets only
	Incarnation sardine.Incarnation
	Flights     int            // requests in flight
	Alive       sardine.Millis // age of the last sign of life, negative for none
	Stalled     bool           // nothing was heard for longer than its work explains
}

// Crowd is how many requests entry nodes have in flight at a group or a plain
// target.
type Crowd struct {
	Group       sardine.GroupID
	Epoch       sardine.Epoch
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Flights     int
}

// witnessKey names what a sign is about.
type witnessKey struct {
	group       sardine.GroupID
	epoch       sardine.Epoch
	vm          sardine.VMID
	incarnation sardine.Incarnation
}

// witnessed is what all witnesses have seen of one group or plain target.
type witnessed struct {
	aliveAt   sardine.Millis // last sign of life, 0 for none
	stalledAt sardine.Millis // last report of a standstill, 0 for none
	toldAt    sardine.Millis // Signs has passed earlier standstills on
	flights   map[sardine.NodeID]flown
	at        sardine.Millis // last report
}

// flown is one witness's requests in flight.
type flown struct {
	count int
	at    sardine.Millis
}

func (w *witnessed) inFlight() int {
	sum := 0
	for _, f := range w.flights {
		sum += f.count
	}
	return sum
}

// Witnesses merges the signs of several nodes. It is not safe for concurrent use.
type Witnesses struct {
	all map[witnessKey]*witnessed
}

// NewWitnesses returns one that has heard of nothing.
func NewWitnesses() *Witnesses {
	return &Witnesses{all: make(map[witnessKey]*witnessed)}
}

// Take takes a node's signs.
func (s *Witnesses) Take(now sardine.Millis, node sardine.NodeID, signs []Sign) {
	for _, sign := range signs {
		key := witnessKey{group: sign.Group, epoch: sign.Epoch, vm: sign.VM, incarnation: sign.Incarnation}
		w := s.all[key]
		if w == nil {
			w = &witnessed{flights: make(map[sardine.NodeID]flown)}
			s.all[key] = w
		}
		w.at = now
		w.flights[node] = flown{count: sign.Flights, at: now}
		if sign.Alive >= 0 {
			w.aliveAt = max(w.aliveAt, now-sign.Alive)
		}
		if sign.Stalled {
			w.stalledAt = now
		}
	}
	s.expire(now)
}

// expire forgets what was not reported lately.
func (s *Witnesses) expire(now sardine.Millis) {
	for key, w := range s.all {
		if w.at+max(witnessFor, stallFor) <= now {
			delete(s.all, key)
			continue
		}
		for node, f := range w.flights {
			if f.at+witnessFor <= now {
				delete(w.flights, node)
			}
		}
	}
}

// Signs returns what all nodes together have seen, as one node's signs. A
// standstill is told once for each report of it, unless a sign of life came later.
func (s *Witnesses) Signs(now sardine.Millis) []Sign {
	s.expire(now)
	signs := make([]Sign, 0, len(s.all))
	for key, w := range s.all {
		sign := Sign{
			Group:       key.group,
			Epoch:       key.epoch,
			VM:          key.vm,
			Incarnation: key.incarnation,
			Flights:     w.inFlight(),
			Alive:       -1,
			Stalled:     w.stalledAt > max(w.toldAt, w.aliveAt),
		}
		if w.aliveAt > 0 {
			sign.Alive = now - w.aliveAt
		}
		w.toldAt = now
		signs = append(signs, sign)
	}
	slices.SortFunc(signs, func(a, b Sign) int {
		if c := strings.Compare(string(a.Group), string(b.Group)); c != 0 {
			return c
		}
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return signs
}

// Crowds returns what the nodes have in flight.
func (s *Witnesses) Crowds() []Crowd {
	crowds := make([]Crowd, 0, len(s.all))
	for key, w := range s.all {
		crowds = append(crowds, Crowd{Group: key.group, Epoch: key.epoch, VM: key.vm, Incarnation: key.incarnation, Flights: w.inFlight()})
	}
	return crowds
}

// Witness takes the signs of an entry node, or of those that one control node
// has heard.
func (l *Leader) Witness(now sardine.Millis, node sardine.NodeID, signs []Sign) {
	l.witnesses.Take(now, node, signs)
}

// Crowds returns what entry nodes have in flight, as far as they have told
// lately.
func (l *Leader) Crowds() []Crowd {
	return l.witnesses.Crowds()
}

// Flights returns how many requests entry nodes have in flight at a group.
func (l *Leader) Flights(g sardine.GroupID, e sardine.Epoch) (count int, known bool) {
	w := l.witnesses.all[witnessKey{group: g, epoch: e}]
	if w == nil {
		return 0, false
	}
	return w.inFlight(), true
}

// viewGroups notes to which group's epoch each VM belongs, as the log says.
func (l *Leader) viewGroups(m *state.Machine) {
	if l.groupsAt == m.FleetIndex() && l.memberOf != nil {
		return
	}
	l.groupsAt = m.FleetIndex()
	l.memberOf = make(map[sardine.VMID]witnessKey)
	for _, g := range m.Groups() {
		if g.State != sardine.GroupServing {
			continue
		}
		for _, member := range g.Members {
			l.memberOf[member.VM] = witnessKey{group: g.ID, epoch: g.Epoch}
		}
	}
}

// witnessOf returns what entry nodes have seen of a target, or of the group that
// it serves in; nil for nothing.
func (l *Leader) witnessOf(kind sardine.TargetKind, r Ref) *witnessed {
	if kind == sardine.KindPlain {
		return l.witnesses.all[witnessKey{vm: r.VM, incarnation: r.Incarnation}]
	}
	key, serves := l.memberOf[r.VM]
	if !serves {
		return nil
	}
	return l.witnesses.all[key]
}

// proved reports whether a silent target is alive all the same: a group goes on
// only with all its members, so that answers of its head speak for each of them.
func (l *Leader) proved(now sardine.Millis, t *targetView) bool {
	w := l.witnessOf(t.latest.Kind, Ref{VM: t.latest.VM, Incarnation: t.latest.Incarnation})
	return w != nil && w.aliveAt > 0 && w.aliveAt+witnessFor > now && w.aliveAt > w.stalledAt
}

// disproved reports whether a target is lost though its announcement still
// counts: its group stands still and it is late with the next one.
func (l *Leader) disproved(now sardine.Millis, kind sardine.TargetKind, r Ref) bool {
	if l.overdue <= 0 || now-l.leadAt < l.overdue || !l.late(now, r.VM) {
		return false
	}
	w := l.witnessOf(kind, r)
	return w != nil && w.stalledAt > 0 && w.stalledAt+stallFor > now && w.stalledAt > w.aliveAt
}

// late reports whether no home has heard the target's announcement in time.
func (l *Leader) late(now sardine.Millis, vm sardine.VMID) bool {
	t := l.targets[vm]
	if t == nil {
		return true // a leader that is new has heard nobody before
	}
	for node := range t.vouched {
		if h := l.homes[node]; l.heardLately(now, h) && !h.overdue[vm] {
			return false
		}
	}
	return true
}
