package ctrl

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/quorum"
)

// Timing holds the node's durations in milliseconds.
type Timing struct {
	Quorum              quorum.Timing
	ServingLease        sardine.Millis // serving lease of entry nodes
	HoldingLease        sardine.Millis // holding lease, for teams with the cut policy hold_changes
	RoundInterval       sardine.Millis // longest time between rounds of the leader
	ProposeTimeout      sardine.Millis // longest wait until a proposed command is applied
	OrderTimeout        sardine.Millis // longest wait for an engine to accept an order
	InForceTimeout      sardine.Millis // longest wait until a change is in force
	TargetGrace         sardine.Millis // time after an election until a silent target counts as lost
	TargetLease         sardine.Millis // lease of a target that announces itself to control nodes
	AnnouncementOverdue sardine.Millis // age of an announcement from which entry nodes' observations count against its target, 0 for never
}

// DefaultTiming returns durations that suit a site of any size.
func DefaultTiming() Timing {
	return Timing{
		Quorum:         quorum.DefaultTiming(),
		ServingLease:   lease.DefaultServing,
		HoldingLease:   lease.DefaultHolding,
		RoundInterval:  100,
		ProposeTimeout: 2 * sardine.Second,
		OrderTimeout:   2 * sardine.Second,
		InForceTimeout: 11 * sardine.Second,
		TargetGrace:    fleet.DefaultGrace,
		TargetLease:    fleet.DefaultLease,
	}
}

// Bounds on the pace of the leader's planner.
const (
	planningPauseFactor = 3 // pause after a round, in its durations
	minPlanningPause    = 10 * sardine.Millis(1)
	maxPlanningPause    = 100 * sardine.Millis(1)
)

// Bounds on concurrent and queued work.
const (
	maxProposals = 32
	// maxStrikeProposals is the number of strikes that are committed at once. It keeps
	// the disks busy and adds little to the time of other commands.
	maxStrikeProposals = 4
	orderSenders       = 32
	orderQueue         = 1024
	updateBatch        = 512 // commands in one follow reply
	// maxIdlePerControl bounds the idle connections to one other control node.
	maxIdlePerControl = 4
)

// Option sets a property of a Node.
type Option func(*Node)

// WithID sets the node's name, its site and its data centre.
func WithID(id sardine.NodeID, site string, dc sardine.DataCentre) Option {
	return func(n *Node) {
		n.id = id
		n.site = site
		n.dataCentre = dc
	}
}

// WithListen sets the address of the internal server and of the operators'
// server, host:port each.
func WithListen(internal, operators string) Option {
	return func(n *Node) {
		n.listenInternal = internal
		n.listenOperators = operators
	}
}

// WithMembers sets the control members of a new site. Once the log holds a list of
// members, that one is used.
func WithMembers(members ...quorum.Member) Option {
	return func(n *Node) { n.members = members }
}

// WithPort serves the platform's interface for operators and targets at the address,
// in addition to sardineswitch's own.
func WithPort(p sardine.ControlPort, address string) Option {
	return func(n *Node) {
		n.port = p
		n.listenControl = address
	}
}

// WithUploadBytes sets the memory for the bodies of all requests together. The default is
// 64 MiB.
func WithUploadBytes(bytes int64) Option {
	return func(n *Node) { n.uploadBytes = bytes }
}

// WithMetrics serves the metrics at a separate address too. linesDropped returns the
// number of dropped log lines, which the metrics show.
func WithMetrics(address string, linesDropped func() int) Option {
	return func(n *Node) {
		n.listenMetrics = address
		n.linesDropped = linesDropped
	}
}

// WithSeeds makes the node ask the control nodes at the addresses to enrol it, and
// makes the leader maintain the list of members automatically.
func WithSeeds(addresses ...string) Option {
	return func(n *Node) {
		n.seeds = addresses
		n.managesMembers = true
	}
}

// WithDisk sets the data folder.
func WithDisk(d sardine.Disk) Option {
	return func(n *Node) { n.disk = d }
}

// WithClock sets the clock.
func WithClock(c sardine.Clock) Option {
	return func(n *Node) { n.clock = c }
}

// WithRandom sets the random source. The caller must not use it any more.
func WithRandom(r sardine.Random) Option {
	return func(n *Node) { n.random = r }
}

// WithLogger sets the logger for events.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithTiming sets the durations.
func WithTiming(t Timing) Option {
	return func(n *Node) { n.timing = t }
}

// WithDial sets the dialer for connections to other control nodes. It has an effect
// only with plain HTTP.
func WithDial(d sardine.Dial) Option {
	return func(n *Node) { n.dial = d }
}

// WithEngines sets the client that sends orders to engines.
func WithEngines(c sardine.EngineClient) Option {
	return func(n *Node) { n.engines = c }
}

// WithPolicy sets the repair policy.
func WithPolicy(p plan.Policy) Option {
	return func(n *Node) { n.policy = p }
}

// WithKeys sets the certificates. The default is plain HTTP.
func WithKeys(s *keys.Set) Option {
	return func(n *Node) { n.keys = s }
}

// WithWeightStore sets how many VMs the weight store serves at its full rate, and how
// long the load of one VM takes at that rate.
func WithWeightStore(loadsAtOnce int, load sardine.Millis) Option {
	return func(n *Node) {
		n.limits.LoadsAtOnce = loadsAtOnce
		n.limits.LoadTime = load
	}
}

// WithStartWindow sets the window over which the weight store counts the loads that
// start.
func WithStartWindow(d sardine.Millis) Option {
	return func(n *Node) { n.limits.StartWindow = d }
}

// WithOperatorHash sets the hash of the first operator's token. Without it and
// without tokens in the log, everyone who can connect to the operators' server has an
// operator's rights.
func WithOperatorHash(hash []byte) Option {
	return func(n *Node) { n.operatorHash = hash }
}
