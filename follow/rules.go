package follow

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// DefaultPollHold is how long the leader holds a poll while there are no updates.
	DefaultPollHold = sardine.Millis(700)
	// ReplyMargin is the time that a poll may take beyond its hold time.
	ReplyMargin = sardine.Millis(300)
	// RelayMargin is added to the timeout of a poll at a relay, so that the relay
	// can reply after its own poll timed out.
	RelayMargin = sardine.Millis(100)
	// ProbeTimeout is the timeout of a poll that is not held.
	ProbeTimeout = sardine.Millis(400)
	// HedgeDelay is how long a poll of a control node may be late until another one is
	// asked who leads, and the time between two such questions.
	HedgeDelay = sardine.Millis(150)
	// LeaderProbeTimeout is the timeout of such a poll at the presumed leader. A leader
	// that many nodes poll at once replies late, and polling it again would add to its
	// load; that it has failed is learnt from other control nodes.
	LeaderProbeTimeout = 2 * ProbeTimeout
	// GatherWait is how long a relay that polls a control node waits for its followers
	// to poll again before it polls without them.
	GatherWait = sardine.Millis(60)
	// GatherWaitInner is GatherWait for a relay that polls another relay. It is
	// shorter, so that the poll arrives there within GatherWait.
	GatherWaitInner = sardine.Millis(20)
	// ExtraPollDelay is how long a relay waits for further followers before it reports
	// their applied index in an extra poll.
	ExtraPollDelay = sardine.Millis(20)
	// RelayHoldMargin is the time beyond its hold time after which a relay answers a poll
	// without a lease.
	RelayHoldMargin = sardine.Millis(300)
	// FollowerTimeout is the time without a poll after which a relay removes a follower.
	FollowerTimeout = 3 * sardine.Second
	// MaxStaleness is the age of a relay's state at which it rejects its followers. It
	// leaves time for one failed poll at a relay and one failed probe. It bounds all
	// levels of the tree together, since the age includes the delay of each level.
	MaxStaleness = 1600 * sardine.Millis(1)
	// MaxLeaderless is the age of a relay's state at which it rejects its followers even
	// though control nodes answer that there is no leader: they would answer the
	// followers the same. It exceeds an election.
	MaxLeaderless = 2 * MaxStaleness
	// LeaderlessValidity is how long such an answer counts. It exceeds the time between
	// two replies of a relay.
	LeaderlessValidity = DefaultPollHold + RelayHoldMargin + 200*sardine.Millis(1)
	// DefaultRelayAvoidance is how long a follower avoids a relay that did not reply.
	DefaultRelayAvoidance = 10 * sardine.Second
	// RefusedRelayAvoidance is how long a follower avoids a relay that replied with a fault,
	// such as that it is cut off.
	RefusedRelayAvoidance = 1 * sardine.Second
	// ControlAvoidance is how long a follower avoids a control node that did not reply,
	// if there are others. It is well below the time in which a change must be in
	// force, so that a node that was cut off from the leader alone polls it again in
	// time.
	ControlAvoidance = 700 * sardine.Millis(1)
	// ElectionPause bounds the pause after a reply of a control node that names no
	// leader.
	ElectionPause = sardine.Millis(100)
	// BackoffBase is the base of the exponential backoff after failed polls. Each
	// pause is a random time between half of its bound and the bound.
	BackoffBase = sardine.Millis(25)
	// MaxBackoff bounds every pause.
	MaxBackoff = sardine.Millis(400)
	// RelayThreshold is the number of entry nodes of a data centre from which on
	// they poll relays.
	RelayThreshold = 8
	// FanOut is the number of followers assigned to each relay, unless the data
	// centre has more nodes than two levels of FanOut followers hold.
	FanOut = 8
	// MaxFollowers is the number of followers at which a relay rejects more.
	MaxFollowers = 3 * FanOut
	// RoundInterval is the least time between two quorum rounds for polls. It bounds what
	// the rounds cost the control nodes, however many polls arrive.
	RoundInterval = sardine.Millis(40)
	// MaxPolls is the maximum number of polls pending at a server.
	MaxPolls = 2048
)

// Timing holds the intervals of a site. All its nodes use the same values.
type Timing struct {
	PollHold       sardine.Millis // see DefaultPollHold
	RelayAvoidance sardine.Millis // see DefaultRelayAvoidance
}

// DefaultTiming returns the intervals DefaultPollHold and DefaultRelayAvoidance.
func DefaultTiming() Timing {
	return Timing{PollHold: DefaultPollHold, RelayAvoidance: DefaultRelayAvoidance}
}

// Defect is a fault that a test injects to show that its checks detect it.
type Defect uint8

// The defects.
const (
	DefectNone           Defect = iota
	DefectLeaseFromReply        // the follower counts its lease from the reply instead of the request
	DefectEarlyApplied          // the follower reports as applied what it has not published
	DefectNoRound               // the server grants leases without a quorum round
	DefectIgnoreFloor           // the follower serves before it has caught up
	DefectRenewAbsent           // the relay renews leases of followers that did not poll
)
