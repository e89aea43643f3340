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

// Timing holds the node's times in milliseconds.
type Timing struct {
	Quorum  quorum.Timing
	Lease   sardine.Millis // serving lease of entry nodes
	Holding sardine.Millis // lease for teams that hold changes
	Round   sardine.Millis // between rounds of the leader without news
	Propose sardine.Millis // longest wait for an own command
	Order   sardine.Millis // longest wait for an engine to take an order
	Accept  sardine.Millis // longest wait until a change is in force
	Grace   sardine.Millis // after an election, until a silent target counts as lost
	Target  sardine.Millis // lease of a target that announces itself to control nodes
	Overdue sardine.Millis // age of an announcement from which entry nodes' word counts against its target, 0 for never
}

// DefaultTiming returns the times for a site of any size.
func DefaultTiming() Timing {
	return Timing{
		Quorum:  quorum.DefaultTiming(),
		Lease:   lease.Serving,
		Holding: lease.Holding,
		Round:   100,
		Propose: 2 * sardine.Second,
		Order:   2 * sardine.Second,
		Accept:  11 * sardine.Second,
		Grace:   fleet.DefaultGrace,
		Target:  fleet.DefaultLease,
	}
}

// Bounds of work under way at once.
const (
	maxProposals = 32
	orderSenders = 32
	orderQueue   = 1024
	newsBatch    = 512 // commands in one follow reply
	// maxIdleOthers bounds the idle connections to one other control node.
	maxIdleOthers = 4
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

// WithMembers sets the control members of a new site. Later the log's own list
// counts.
func WithMembers(members ...quorum.Member) Option {
	return func(n *Node) { n.members = members }
}

// WithPort sets the interface that operators and targets use at the address,
// besides the product's own.
func WithPort(p sardine.ControlPort, address string) Option {
	return func(n *Node) {
		n.port = p
		n.listenControl = address
	}
}

// WithMetrics serves the metrics on an address of their own too, and tells them
// how many log lines were dropped.
func WithMetrics(address string, linesDropped func() int) Option {
	return func(n *Node) {
		n.listenMetrics = address
		n.linesDropped = linesDropped
	}
}

// WithSeeds makes the node ask the control nodes at the addresses for its
// membership, and the leader keep the list of members up by itself.
func WithSeeds(addresses ...string) Option {
	return func(n *Node) {
		n.seeds = addresses
		n.discovers = true
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

// WithRandom sets the random source, which the node alone uses from then on.
func WithRandom(r sardine.Random) Option {
	return func(n *Node) { n.random = r }
}

// WithLogger sets where events are written.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithTiming sets the times.
func WithTiming(t Timing) Option {
	return func(n *Node) { n.timing = t }
}

// WithDial sets how other control nodes are connected to. It is for plain HTTP
// only.
func WithDial(d sardine.Dial) Option {
	return func(n *Node) { n.dial = d }
}

// WithEngines sets how orders reach engines.
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

// WithWeightStore tells how many VMs the weight store serves at its full rate, and
// how long one VM's load takes then.
func WithWeightStore(loadsAtOnce int, load sardine.Millis) Option {
	return func(n *Node) {
		n.limits.LoadsAtOnce = loadsAtOnce
		n.limits.LoadTime = load
	}
}

// WithStartWindow sets the time over which the weight store counts the loads that
// begin.
func WithStartWindow(d sardine.Millis) Option {
	return func(n *Node) { n.limits.StartWindow = d }
}

// WithOperatorHash sets the hash of the first operator's token. Without it and
// without tokens in the log, everyone who reaches the operators' server is an
// operator.
func WithOperatorHash(hash []byte) Option {
	return func(n *Node) { n.operatorHash = hash }
}
