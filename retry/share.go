package retry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Share is the part of a bound of the whole site that one incarnation of an entry node
// may spend. All incarnations together stay within the bound, whatever they have
// forgotten:
//
//   - The log tells how many seats share it. A seat stays counted while its node is away.
//   - A node that no leader has vouched for within a window spends nothing, since others
//     may have come.
//   - An incarnation whose predecessor ended without a word waits until what that may
//     have spent has left the window. One that came to a new seat waits for the others
//     to learn of it, too.
type Share struct {
	length sardine.Millis // of the window
	seats  int            // that share the bound, 0 if this node has none
	from   sardine.Millis // first instant at which the node may spend its part
	fresh  sardine.Millis // when a leader vouched for the number of seats
}

// Seats returns among how many seats the bound is shared, 0 while the node has none.
func (s *Share) Seats() int {
	return s.seats
}

// Seated takes over that the node, started at the instant, has come to its seat.
func (s *Share) Seated(now, startedAt sardine.Millis, a state.Arrival) {
	switch a {
	case state.Founded, state.Succeeded:
		s.from = startedAt
	case state.Restarted:
		s.from = startedAt + s.length
	default:
		s.from = now + 2*s.length
	}
}

// Resize takes over the number of seats, 0 for a node that has none.
func (s *Share) Resize(seats int) {
	s.seats = seats
}

// Vouched takes over when a leader has last vouched for the number of seats.
func (s *Share) Vouched(at sardine.Millis) {
	s.fresh = max(s.fresh, at)
}

// at returns the share at an instant, as a part of the whole.
func (s *Share) at(now sardine.Millis) float64 {
	if !s.opened(now) || now >= s.fresh+s.length {
		return 0
	}
	return 1 / float64(s.seats)
}

// opened reports whether the node has a seat and what was spent there before is known,
// or too old to count.
func (s *Share) opened(now sardine.Millis) bool {
	return s.seats > 0 && now >= s.from
}

// Opens returns in how many milliseconds the node may spend its part, 0 if it may or
// has none.
func (s *Share) Opens(now sardine.Millis) sardine.Millis {
	if s.seats == 0 {
		return 0
	}
	return max(s.from-now, 0)
}
