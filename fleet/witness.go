package fleet

import (
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
// requests that it has in flight there.
type Sign struct {
	Group       sardine.GroupID // engines only
	Epoch       sardine.Epoch   // engines only
	VM          sardine.VMID    // plain targets only
	Incarnation sardine.Incarnation
	Flights     int            // requests in flight
	Alive       sardine.Millis // age of the last sign of life, negative for none
	Stalled     bool           // nothing was heard for longer than its work explains
}

// witnessKey names what a sign is about.
type witnessKey struct {
	group       sardine.GroupID
	epoch       sardine.Epoch
	vm          sardine.VMID
	incarnation sardine.Incarnation
}

// witnessed is what all entry nodes have seen of one group or plain target.
type witnessed struct {
	aliveAt   sardine.Millis // last sign of life, 0 for none
	stalledAt sardine.Millis // last report of a standstill, 0 for none
	flights   map[sardine.NodeID]int
	at        sardine.Millis // last report
}

// Witness takes an entry node's signs.
func (l *Leader) Witness(now sardine.Millis, node sardine.NodeID, signs []Sign) {
	for _, s := range signs {
		key := witnessKey{group: s.Group, epoch: s.Epoch, vm: s.VM, incarnation: s.Incarnation}
		w := l.witnesses[key]
		if w == nil {
			w = &witnessed{flights: make(map[sardine.NodeID]int)}
			l.witnesses[key] = w
		}
		w.at = now
		w.flights[node] = s.Flights
		if s.Alive >= 0 {
			w.aliveAt = max(w.aliveAt, now-s.Alive)
		}
		if s.Stalled {
			w.stalledAt = now
		}
	}
	for key, w := range l.witnesses {
		if w.at+max(witnessFor, stallFor) <= now {
			delete(l.witnesses, key)
		}
	}
}

// Flights returns how many requests entry nodes have in flight at a group.
func (l *Leader) Flights(g sardine.GroupID, e sardine.Epoch) (count int, known bool) {
	w := l.witnesses[witnessKey{group: g, epoch: e}]
	if w == nil {
		return 0, false
	}
	for _, n := range w.flights {
		count += n
	}
	return count, true
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

// Crowds returns what entry nodes have in flight, as far as they have told
// lately.
func (l *Leader) Crowds() []Crowd {
	crowds := make([]Crowd, 0, len(l.witnesses))
	for key, w := range l.witnesses {
		c := Crowd{Group: key.group, Epoch: key.epoch, VM: key.vm, Incarnation: key.incarnation}
		for _, n := range w.flights {
			c.Flights += n
		}
		crowds = append(crowds, c)
	}
	return crowds
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
		return l.witnesses[witnessKey{vm: r.VM, incarnation: r.Incarnation}]
	}
	key, serves := l.memberOf[r.VM]
	if !serves {
		return nil
	}
	return l.witnesses[key]
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
	beatAt := l.leadAt // a leader that is new has heard nobody before
	if t := l.targets[r.VM]; t != nil {
		beatAt = max(beatAt, t.beatAt)
	}
	if l.overdue <= 0 || now-beatAt < l.overdue {
		return false
	}
	w := l.witnessOf(kind, r)
	return w != nil && w.stalledAt > 0 && w.stalledAt+stallFor > now && w.stalledAt > w.aliveAt
}
