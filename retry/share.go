package retry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Share is the part of the site-wide retry bound that one incarnation of an
// entry node may spend. All incarnations together stay within the bound, even
// if some of them lost their counts:
//
//   - The log holds the number of budget slots that share the bound. A slot
//     counts while its node is away.
//   - A node spends nothing if no leader has confirmed the number of slots
//     within a window, since slots may have been added.
//   - An incarnation whose predecessor ended without reporting what it
//     spent waits until that spending has left the window. An incarnation
//     in a new slot also waits until the other nodes have received the new
//     number of slots.
type Share struct {
	length      sardine.Millis // of the window
	slots       int            // number of slots that share the bound, 0 if this node has none
	spendFrom   sardine.Millis // earliest time at which the node may spend its part
	confirmedAt sardine.Millis // when a leader last confirmed the number of slots
}

// Slots returns the number of slots that share the bound, 0 while the node
// has none.
func (s *Share) Slots() int {
	return s.slots
}

// AssignSlot records that the node, which started at startedAt, got its slot with
// the given origin.
func (s *Share) AssignSlot(now, startedAt sardine.Millis, a state.SlotOrigin) {
	switch a {
	case state.SlotInitial, state.SlotHandedOver:
		s.spendFrom = startedAt
	case state.SlotRestarted:
		s.spendFrom = startedAt + s.length
	default:
		s.spendFrom = now + 2*s.length
	}
}

// Resize sets the number of slots that share the bound, 0 for a node without
// a slot.
func (s *Share) Resize(slots int) {
	s.slots = slots
}

// Confirm records when a leader last confirmed the number of slots.
func (s *Share) Confirm(at sardine.Millis) {
	s.confirmedAt = max(s.confirmedAt, at)
}

// fraction returns the share at now, as a fraction of the whole bound.
func (s *Share) fraction(now sardine.Millis) float64 {
	if !s.isOpen(now) || now >= s.confirmedAt+s.length {
		return 0
	}
	return 1 / float64(s.slots)
}

// isOpen reports whether the node has a slot, and what was spent there before
// is known or too old to count.
func (s *Share) isOpen(now sardine.Millis) bool {
	return s.slots > 0 && now >= s.spendFrom
}

// OpensIn returns the milliseconds until the node may spend its part, 0 if it
// may spend it now or has no slot.
func (s *Share) OpensIn(now sardine.Millis) sardine.Millis {
	if s.slots == 0 {
		return 0
	}
	return max(s.spendFrom-now, 0)
}
