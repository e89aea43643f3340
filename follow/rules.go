package follow

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// Hold is how long the leader lets a poll wait for news.
	Hold = sardine.Millis(700)
	// ReplyMargin is how much longer than its hold time a poll may take.
	ReplyMargin = sardine.Millis(300)
	// RelayMargin is added for a poll at a relay, so that the relay's own
	// failure is answered before the poll times out.
	RelayMargin = sardine.Millis(100)
	// ProbeTimeout bounds a poll that is not held.
	ProbeTimeout = sardine.Millis(400)
	// SlowAfter is the number of failures in a row from which a probe of the leader
	// waits twice as long: that of the relay, and the word of a control node on who leads. A leader
	// whom many nodes ask at once needs longer, and asking it again would only add to
	// its work.
	SlowAfter = 2
	// Gather is how long a relay that asks a control node waits for its
	// followers to ask again before it asks without them.
	Gather = sardine.Millis(60)
	// GatherInner is Gather for a relay that asks another relay, shorter so
	// that it is not late there.
	GatherInner = sardine.Millis(20)
	// PromptDelay is how long a relay waits for more late followers before it
	// reports their progress in an extra poll.
	PromptDelay = sardine.Millis(20)
	// RelaySlack is how much longer than its hold time a relay keeps a poll
	// before it answers without a lease.
	RelaySlack = sardine.Millis(300)
	// ChildTimeout is when a relay forgets a follower that does not ask.
	ChildTimeout = 3 * sardine.Second
	// StaleMost is the age of its knowledge at which a relay turns its followers
	// away. It leaves time for one poll at a relay and one probe that fail, and it
	// is the bound for all levels together, since the age adds up on the way.
	StaleMost = 1600 * sardine.Millis(1)
	// RelayRetry is how long a follower stays away from a relay that failed.
	RelayRetry = 10 * sardine.Second
	// RelayRest is how long a follower stays away from a relay that said it was
	// cut off.
	RelayRest = 1 * sardine.Second
	// ControlRest is how long a follower avoids a control node that did not
	// answer, if there are others. It is well below the time in which a change
	// must be in force, so that a node which was cut off from the leader alone
	// finds it again in time.
	ControlRest = 700 * sardine.Millis(1)
	// ElectionPause bounds the pause after a control node that knows no leader.
	ElectionPause = sardine.Millis(100)
	// BackoffFirst bounds the pause after the first failed poll. Each pause is
	// drawn from its upper half.
	BackoffFirst = sardine.Millis(25)
	// BackoffMost bounds every pause.
	BackoffMost = sardine.Millis(400)
	// RelayThreshold is the number of entry nodes of a data centre from which
	// on they follow through relays.
	RelayThreshold = 8
	// FanOut is the number of followers planned for each relay.
	FanOut = 8
	// MaxChildren is the number of followers at which a relay refuses more.
	MaxChildren = 3 * FanOut
	// MaxPolls is the number of polls that a server keeps at once.
	MaxPolls = 2048
)

// Timing holds the intervals of a site. All its nodes use the same.
type Timing struct {
	Hold  sardine.Millis
	Retry sardine.Millis // RelayRetry
}

// DefaultTiming returns the intervals that the constants name.
func DefaultTiming() Timing {
	return Timing{Hold: Hold, Retry: RelayRetry}
}

// Defect is a fault that a test plants to show that its checks find it.
type Defect uint8

// The defects.
const (
	DefectNone           Defect = iota
	DefectLeaseFromReply        // the follower counts its lease from the reply
	DefectEarlyApplied          // the follower reports what it has not published
	DefectNoRound               // the server grants without a quorum round
	DefectIgnoreFloor           // the follower serves before it caught up
	DefectCoverAbsent           // the relay covers followers that did not ask
)
