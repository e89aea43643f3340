package state

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// BudgetSlotRetention is how long a vacant budget slot is kept for its node. Until it
// expires, the other nodes do not divide its part of the budget. It is longer than a
// node without contact to the leader may go on spending, so after this time every
// node that still spends counts a new slot.
const BudgetSlotRetention = WallTime(60 * sardine.Second)

// SlotOrigin is how an incarnation got its budget slot. It determines what is known of
// the retries that were spent in the slot before.
type SlotOrigin uint8

// The origins of a slot. The numbers are stored and must not change.
const (
	SlotAdded      SlotOrigin = iota // the slot is new to other nodes, or an incarnation at another address may still spend
	SlotInitial                      // assigned before callers sent their first requests
	SlotHandedOver                   // the previous incarnation reported what it spent
	SlotRestarted                    // the previous incarnation ended without reporting what it spent
)

// String returns the name that log lines show.
func (a SlotOrigin) String() string {
	names := [...]string{"added", "founded", "succeeded", "restarted"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// ServiceRetries is the retry allowance that was spent for one service: one value per
// quarter of a second, in thousandths of a retry, the newest last.
type ServiceRetries struct {
	Service sardine.ServiceName
	Spent   []uint32
}

// SpentRetries is what an incarnation has spent of the site-wide retry allowance. It
// is known only if the incarnation shut down in order.
type SpentRetries struct {
	Known    bool
	Services []ServiceRetries
}

// BudgetSlot is an entry node's budget slot. The site-wide retry budget is divided by the
// number of slots. A slot is kept for BudgetSlotRetention after its node has left.
type BudgetSlot struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Address     string
	Origin      SlotOrigin
	Spent       SpentRetries // by the previous incarnation; once vacant, by this one
	Vacant      bool
	VacatedAt   WallTime
	AddedAt     WallTime // 0 for a slot that was assigned before the first callers' requests
}

// propagated reports whether every other node that may spend counts the slot.
func (s BudgetSlot) propagated(at WallTime) bool {
	return s.AddedAt == 0 || at >= s.AddedAt+BudgetSlotRetention
}

// budgetSlots holds the budget slots of all entry nodes.
type budgetSlots struct {
	byNode map[sardine.NodeID]BudgetSlot
	vacant *expirySet[sardine.NodeID]
}

func newBudgetSlots() budgetSlots {
	return budgetSlots{byNode: make(map[sardine.NodeID]BudgetSlot), vacant: newExpirySet[sardine.NodeID]()}
}

// assign gives an incarnation its node's slot. beforeTraffic reports that callers
// have not sent requests yet.
func (s *budgetSlots) assign(e JoinEntry, beforeTraffic bool, at WallTime) {
	old, known := s.byNode[e.Node]
	if known && !old.Vacant && old.Incarnation == e.Incarnation {
		return
	}
	slot := BudgetSlot{Node: e.Node, Incarnation: e.Incarnation, Address: e.Address, AddedAt: old.AddedAt}
	switch {
	case beforeTraffic:
		slot.Origin, slot.AddedAt = SlotInitial, 0
	case !known:
		slot.AddedAt = at
	case !old.propagated(at):
	case old.Vacant && old.Spent.Known:
		slot.Origin, slot.Spent = SlotHandedOver, old.Spent
	case old.Address == e.Address:
		slot.Origin = SlotRestarted
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

func (s *budgetSlots) sorted() []BudgetSlot {
	return sorted(s.byNode, func(a, b BudgetSlot) int { return cmp.Compare(a.Node, b.Node) })
}

// restore loads the slots of a snapshot. Snapshots of earlier versions hold no slots;
// their entry nodes get one whose spent retries are unknown.
func (s *budgetSlots) restore(all []*wire.Seat, entries map[sardine.NodeID]JoinEntry) {
	restored := make([]BudgetSlot, 0, len(all))
	for _, w := range all {
		restored = append(restored, slotFromWire(w))
	}
	slices.SortStableFunc(restored, func(a, b BudgetSlot) int { return cmp.Compare(a.VacatedAt, b.VacatedAt) })
	for _, slot := range restored {
		s.byNode[slot.Node] = slot
		if slot.Vacant {
			s.vacant.put(slot.Node, slot.VacatedAt)
		}
	}
	for _, e := range entries {
		if _, exists := s.byNode[e.Node]; !exists {
			s.byNode[e.Node] = BudgetSlot{Node: e.Node, Incarnation: e.Incarnation, Address: e.Address, Origin: SlotRestarted}
		}
	}
}

// BudgetSlot returns the budget slot of an entry node.
func (m *Machine) BudgetSlot(n sardine.NodeID) (BudgetSlot, bool) {
	slot, known := m.slots.byNode[n]
	return slot, known
}

// BudgetSlotCount returns the number of budget slots, including vacant ones.
func (m *Machine) BudgetSlotCount() int {
	return len(m.slots.byNode)
}

func slotToWire(s BudgetSlot) *wire.Seat {
	return &wire.Seat{
		Node:        string(s.Node),
		Incarnation: uint64(s.Incarnation),
		Address:     s.Address,
		Arrival:     uint32(s.Origin),
		Spent:       spentToWire(s.Spent),
		Vacant:      s.Vacant,
		VacatedAt:   int64(s.VacatedAt),
		AddedAt:     int64(s.AddedAt),
	}
}

func slotFromWire(w *wire.Seat) BudgetSlot {
	return BudgetSlot{
		Node:        sardine.NodeID(w.GetNode()),
		Incarnation: sardine.Incarnation(w.GetIncarnation()),
		Address:     w.GetAddress(),
		Origin:      SlotOrigin(min(w.GetArrival(), uint32(SlotRestarted))),
		Spent:       spentFromWire(w.GetSpent()),
		Vacant:      w.GetVacant(),
		VacatedAt:   WallTime(w.GetVacatedAt()),
		AddedAt:     WallTime(w.GetAddedAt()),
	}
}

func spentToWire(s SpentRetries) *wire.Spent {
	if !s.Known {
		return nil
	}
	w := &wire.Spent{}
	for _, one := range s.Services {
		w.Services = append(w.Services, &wire.ServiceSlack{Service: string(one.Service), Slack: one.Spent})
	}
	return w
}

func spentFromWire(w *wire.Spent) SpentRetries {
	s := SpentRetries{Known: w != nil}
	for _, one := range w.GetServices() {
		s.Services = append(s.Services, ServiceRetries{Service: sardine.ServiceName(one.GetService()), Spent: one.GetSlack()})
	}
	return s
}
