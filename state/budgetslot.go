package state

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// SeatRetention is how long a vacant budget slot is kept for its node. Until it
// expires, the other nodes do not divide its part of the budget. It is longer than a
// node without contact to the leader may go on spending, so after this time every
// node that still spends counts a new slot.
const SeatRetention = WallTime(60 * sardine.Second)

// Arrival is how an incarnation got its budget slot. It determines what is known of
// the retries that were spent in the slot before.
type Arrival uint8

// The origins of a slot. The numbers are stored and must not change.
const (
	Added     Arrival = iota // the slot is new to other nodes, or an incarnation at another address may still spend
	Founded                  // assigned before callers sent their first requests
	Succeeded                // the previous incarnation reported what it spent
	Restarted                // the previous incarnation ended without reporting what it spent
)

// String returns the name that log lines show.
func (a Arrival) String() string {
	names := [...]string{"added", "founded", "succeeded", "restarted"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// ServiceSlack is the retry allowance that was spent for one service: one value per
// quarter of a second, in thousandths of a retry, the newest last.
type ServiceSlack struct {
	Service sardine.ServiceName
	Slack   []uint32
}

// Spent is what an incarnation has spent of the site-wide retry allowance. It is known
// only if the incarnation shut down in order.
type Spent struct {
	Known    bool
	Services []ServiceSlack
}

// Seat is an entry node's budget slot. The site-wide retry budget is divided by the
// number of slots. A slot is kept for SeatRetention after its node has left.
type Seat struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Address     string
	Arrival     Arrival
	Spent       Spent // by the previous incarnation; once vacant, by this one
	Vacant      bool
	VacatedAt   WallTime
	AddedAt     WallTime // 0 for a slot that was assigned before the first callers' requests
}

// propagated reports whether every other node that may spend counts the slot.
func (s Seat) propagated(at WallTime) bool {
	return s.AddedAt == 0 || at >= s.AddedAt+SeatRetention
}

// budgetSlots holds the budget slots of all entry nodes.
type budgetSlots struct {
	byNode map[sardine.NodeID]Seat
	vacant *expirySet[sardine.NodeID]
}

func newBudgetSlots() budgetSlots {
	return budgetSlots{byNode: make(map[sardine.NodeID]Seat), vacant: newExpirySet[sardine.NodeID]()}
}

// assign gives an incarnation its node's slot. beforeTraffic reports that callers
// have not sent requests yet.
func (s *budgetSlots) assign(e JoinEntry, beforeTraffic bool, at WallTime) {
	old, known := s.byNode[e.Node]
	if known && !old.Vacant && old.Incarnation == e.Incarnation {
		return
	}
	slot := Seat{Node: e.Node, Incarnation: e.Incarnation, Address: e.Address, AddedAt: old.AddedAt}
	switch {
	case beforeTraffic:
		slot.Arrival, slot.AddedAt = Founded, 0
	case !known:
		slot.AddedAt = at
	case !old.propagated(at):
	case old.Vacant && old.Spent.Known:
		slot.Arrival, slot.Spent = Succeeded, old.Spent
	case old.Address == e.Address:
		slot.Arrival = Restarted
	}
	s.byNode[e.Node] = slot
	s.vacant.remove(e.Node)
}

// release marks the slot of an incarnation that has left as vacant.
func (s *budgetSlots) release(c LeaveEntry, at WallTime) {
	slot, known := s.byNode[c.Node]
	if !known || slot.Incarnation != c.Incarnation {
		return
	}
	slot.Vacant, slot.VacatedAt, slot.Spent = true, at, c.Spent
	s.byNode[c.Node] = slot
	s.vacant.put(c.Node, at)
}

func (s *budgetSlots) expire(limit WallTime) {
	for {
		node, expired := s.vacant.popExpired(limit)
		if !expired {
			return
		}
		delete(s.byNode, node)
	}
}

func (s *budgetSlots) sorted() []Seat {
	return sorted(s.byNode, func(a, b Seat) int { return cmp.Compare(a.Node, b.Node) })
}

// restore loads the slots of a snapshot. Snapshots of earlier versions hold no slots;
// their entry nodes get one whose spent retries are unknown.
func (s *budgetSlots) restore(all []*wire.Seat, entries map[sardine.NodeID]JoinEntry) {
	restored := make([]Seat, 0, len(all))
	for _, w := range all {
		restored = append(restored, slotFromWire(w))
	}
	slices.SortStableFunc(restored, func(a, b Seat) int { return cmp.Compare(a.VacatedAt, b.VacatedAt) })
	for _, slot := range restored {
		s.byNode[slot.Node] = slot
		if slot.Vacant {
			s.vacant.put(slot.Node, slot.VacatedAt)
		}
	}
	for _, e := range entries {
		if _, exists := s.byNode[e.Node]; !exists {
			s.byNode[e.Node] = Seat{Node: e.Node, Incarnation: e.Incarnation, Address: e.Address, Arrival: Restarted}
		}
	}
}

// Seat returns the budget slot of an entry node.
func (m *Machine) Seat(n sardine.NodeID) (Seat, bool) {
	slot, known := m.slots.byNode[n]
	return slot, known
}

// Seats returns the number of budget slots, including vacant ones.
func (m *Machine) Seats() int {
	return len(m.slots.byNode)
}

func slotToWire(s Seat) *wire.Seat {
	return &wire.Seat{
		Node:        string(s.Node),
		Incarnation: uint64(s.Incarnation),
		Address:     s.Address,
		Arrival:     uint32(s.Arrival),
		Spent:       spentToWire(s.Spent),
		Vacant:      s.Vacant,
		VacatedAt:   int64(s.VacatedAt),
		AddedAt:     int64(s.AddedAt),
	}
}

func slotFromWire(w *wire.Seat) Seat {
	return Seat{
		Node:        sardine.NodeID(w.GetNode()),
		Incarnation: sardine.Incarnation(w.GetIncarnation()),
		Address:     w.GetAddress(),
		Arrival:     Arrival(min(w.GetArrival(), uint32(Restarted))),
		Spent:       spentFromWire(w.GetSpent()),
		Vacant:      w.GetVacant(),
		VacatedAt:   WallTime(w.GetVacatedAt()),
		AddedAt:     WallTime(w.GetAddedAt()),
	}
}

func spentToWire(s Spent) *wire.Spent {
	if !s.Known {
		return nil
	}
	w := &wire.Spent{}
	for _, one := range s.Services {
		w.Services = append(w.Services, &wire.ServiceSlack{Service: string(one.Service), Slack: one.Slack})
	}
	return w
}

func spentFromWire(w *wire.Spent) Spent {
	s := Spent{Known: w != nil}
	for _, one := range w.GetServices() {
		s.Services = append(s.Services, ServiceSlack{Service: sardine.ServiceName(one.GetService()), Slack: one.GetSlack()})
	}
	return s
}
