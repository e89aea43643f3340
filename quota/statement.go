package quota

import (
	sardine "sardineswitch.dev/sardine"
)

// A stated limit outweighs higher limits and answers without one for a while, so
// that a target whose answers alternate keeps its lowest limit.
const (
	// minHold exceeds the time in which a statement reaches all nodes, with a lost
	// report on the way.
	minHold = 3 * sardine.Second
	// holdRequests is the number of requests at the target's rate that the time
	// spans.
	holdRequests = 3.0
)

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
	held := first.limited && second.at < first.at+first.hold()
	switch {
	case held && (!second.limited || second.limit > first.limit):
		return first
	default:
		return second
	}
}

// hold returns how long the statement outweighs higher limits and answers
// without one.
func (s statement) hold() sardine.Millis {
	return max(minHold, sardine.Millis(holdRequests*1000/s.usable()))
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
