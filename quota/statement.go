package quota

import (
	sardine "sardineswitch.dev/sardine"
)

// statementHold is how long a stated limit outweighs higher limits and answers
// without one. It exceeds the time in which a statement reaches all nodes, so
// that a target whose answers alternate keeps its lowest limit.
const statementHold = 2 * sardine.Second

// statement is what nodes last learned from a target's answers about its
// limit.
type statement struct {
	limited bool
	limit   float64        // requests per second
	at      sardine.Millis // when the answer with the limit arrived; without a limit, when the request was sent
}

// merge returns what holds after both statements, in whichever order they were
// heard.
func (s statement) merge(other statement) statement {
	first, second := s, other
	if second.at < first.at {
		first, second = second, first
	}
	held := first.limited && second.at < first.at+statementHold
	switch {
	case held && (!second.limited || second.limit > first.limit):
		return first
	default:
		return second
	}
}

// usable returns the rate that all nodes together may use.
func (s statement) usable() float64 {
	return usableRate(s.limit)
}

// value returns the limit for logs and dumps.
func (s statement) value() float64 {
	if !s.limited {
		return Unlimited
	}
	return s.limit
}
