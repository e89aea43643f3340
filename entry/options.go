package entry

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/keys"
)

// Timing holds the node's intervals and timeouts in milliseconds.
type Timing struct {
	PollHold         sardine.Millis // how long a poll of the control state may be held open
	TargetLease      sardine.Millis // how long an announcement is valid
	AnnounceInterval sardine.Millis // announcement interval requested from targets
	FirstToken       sardine.Millis // maximum silence before the first token
	BetweenTokens    sardine.Millis // maximum silence between tokens
	PlainAnswer      sardine.Millis // timeout of a plain service's answer
	Write            sardine.Millis // timeout of one write to a caller
	Header           sardine.Millis // from the start of a request to the end of its header
	Read             sardine.Millis // timeout of reading a caller's request
	Idle             sardine.Millis // idle timeout of callers' connections
	BalancerDelay    sardine.Millis // from reporting not ready to closing the listener
	Drain            sardine.Millis // maximum wait for requests in flight
	Final            sardine.Millis // maximum wait for the answers of requests that the drain has ended
	Submit           sardine.Millis // timeout of a command to the control nodes
}

// DefaultTiming returns the defaults, which suit a site of any size.
func DefaultTiming() Timing {
	return Timing{
		PollHold:         follow.DefaultPollHold,
		TargetLease:      3 * sardine.Second,
		AnnounceInterval: sardine.Second,
		FirstToken:       30 * sardine.Second,
		BetweenTokens:    5 * sardine.Second,
		PlainAnswer:      30 * sardine.Second,
		Write:            10 * sardine.Second,
		Header:           5 * sardine.Second,
		Read:             10 * sardine.Second,
		Idle:             60 * sardine.Second,
		BalancerDelay:    3 * sardine.Second,
		Drain:            60 * sardine.Second,
		Final:            10 * sardine.Second,
		Submit:           5 * sardine.Second,
	}
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes   int64
	UploadBytes int64 // of the bodies of all requests together
	HeaderBytes int
	Connections int // concurrent connections of callers
}

// DefaultLimits returns bounds for ordinary prompts.
func DefaultLimits() Limits {
	return Limits{BodyBytes: 1 << 20, UploadBytes: 256 << 20, HeaderBytes: 16 << 10, Connections: 10000}
}

// Option sets a property of a Node.
type Option func(*Node)

// WithID sets the node's name, its incarnation, which increases with each
// start, and its data centre.
func WithID(id sardine.NodeID, i sardine.Incarnation, dc sardine.DataCentre) Option {
	return func(n *Node) {
		n.id = id
		n.incarnation = i
		n.dataCentre = dc
	}
}

// WithListen sets the listening addresses as host:port: public for callers,
// internal for other nodes and operators.
func WithListen(public, internal string) Option {
	return func(n *Node) {
		n.listenPublic = public
		n.listenInternal = internal
	}
}

// WithTargetListen sets a separate listening address for announcements from
// targets. By default they arrive at the public address.
func WithTargetListen(address string) Option {
	return func(n *Node) { n.listenTargets = address }
}

// WithAdvertise sets the addresses at which targets and other nodes reach this
// node. By default they are the listening addresses.
func WithAdvertise(targets, internal string) Option {
	return func(n *Node) {
		n.advertiseTargets = targets
		n.advertiseInternal = internal
	}
}

// WithControls sets the addresses of the control nodes.
func WithControls(addresses ...string) Option {
	return func(n *Node) { n.controls = addresses }
}

// WithClock sets the clock.
func WithClock(c sardine.Clock) Option {
	return func(n *Node) { n.clock = c }
}

// WithRandom sets the random source. The node must be its only user.
func WithRandom(r sardine.Random) Option {
	return func(n *Node) { n.random = r }
}

// WithLogger sets the logger for events.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.log = l }
}

// WithTiming sets the intervals and timeouts.
func WithTiming(t Timing) Option {
	return func(n *Node) { n.timing = t }
}

// WithLimits sets the bounds on callers.
func WithLimits(l Limits) Option {
	return func(n *Node) { n.limits = l }
}

// WithPorts sets the protocols of callers and targets, which replace the
// built-in API, and the codec of operators' layouts. Callers are then served
// according to the layout's routes.
func WithPorts(callers sardine.CallerPort, targets sardine.TargetPort, layouts sardine.LayoutCodec) Option {
	return func(n *Node) {
		n.byLayout = true
		n.callers = callers
		n.targetPort = targets
		n.layouts = layouts
	}
}

// WithReadyListen sets a separate listening address for the load balancer's
// readiness checks.
func WithReadyListen(address string) Option {
	return func(n *Node) { n.listenReady = address }
}

// WithMetrics also serves the metrics on a separate address. linesDropped
// returns the number of dropped log lines for the metrics.
func WithMetrics(address string, linesDropped func() int) Option {
	return func(n *Node) {
		n.listenMetrics = address
		n.linesDropped = linesDropped
	}
}

// WithRetryLimit limits retries over all entry nodes: in any window they may be a
// ratio of the first attempts plus the retry allowance.
func WithRetryLimit(ratio, slack float64, window sardine.Millis) Option {
	return func(n *Node) {
		n.retryRatio = ratio
		n.retryAllowance = slack
		n.retryWindow = window
	}
}

// WithKeys sets the certificates. The default is plain HTTP.
func WithKeys(s *keys.Set) Option {
	return func(n *Node) { n.keys = s }
}

// WithOperatorHash sets the hash of the initial operator token.
func WithOperatorHash(hash []byte) Option {
	return func(n *Node) { n.operatorHash = hash }
}

// WithTargetTokens sets whether targets must send a token with the scope target
// when they announce themselves.
func WithTargetTokens(on bool) Option {
	return func(n *Node) { n.targetTokens = on }
}

// WithDial sets the dial function for control nodes and other entry nodes. It
// applies to plain HTTP only.
func WithDial(d sardine.Dial) Option {
	return func(n *Node) { n.dial = d }
}

// WithTargetDial sets the dial function for targets.
func WithTargetDial(d sardine.Dial) Option {
	return func(n *Node) { n.targetDial = d }
}
