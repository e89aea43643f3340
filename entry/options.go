package entry

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/keys"
)

// Timing holds the node's times in milliseconds.
type Timing struct {
	Hold          sardine.Millis // how long a follow request may be held
	TargetLease   sardine.Millis // how long an announcement counts
	Announce      sardine.Millis // interval asked of targets
	FirstToken    sardine.Millis // longest silence before the first token
	BetweenTokens sardine.Millis // longest silence between tokens
	PlainAnswer   sardine.Millis // longest wait for a plain service's answer
	Write         sardine.Millis // longest write to a caller
	Read          sardine.Millis // longest read of a caller's request
	Idle          sardine.Millis // longest idle caller's connection
	BalancerMove  sardine.Millis // from unready to closed listener
	Drain         sardine.Millis // longest wait for requests in flight
	Submit        sardine.Millis // longest wait for a control command
}

// DefaultTiming returns the times for a site of any size.
func DefaultTiming() Timing {
	return Timing{
		Hold:          follow.Hold,
		TargetLease:   3 * sardine.Second,
		Announce:      sardine.Second,
		FirstToken:    30 * sardine.Second,
		BetweenTokens: 5 * sardine.Second,
		PlainAnswer:   30 * sardine.Second,
		Write:         10 * sardine.Second,
		Read:          10 * sardine.Second,
		Idle:          60 * sardine.Second,
		BalancerMove:  3 * sardine.Second,
		Drain:         60 * sardine.Second,
		Submit:        5 * sardine.Second,
	}
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	Connections int // callers' connections at once
}

// DefaultLimits returns the bounds for ordinary prompts.
func DefaultLimits() Limits {
	return Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10, Connections: 10000}
}

// Option sets a property of a Node.
type Option func(*Node)

// WithID sets the node's name, its start number and its data centre.
func WithID(id sardine.NodeID, i sardine.Incarnation, dc sardine.DataCentre) Option {
	return func(n *Node) {
		n.id = id
		n.incarnation = i
		n.dataCentre = dc
	}
}

// WithListen sets the addresses of the servers, host:port each: for callers, and
// for other processes and operators.
func WithListen(public, internal string) Option {
	return func(n *Node) {
		n.listenPublic = public
		n.listenInternal = internal
	}
}

// WithTargetListen sets an address of its own for targets' announcements. By
// default they come to the callers' address.
func WithTargetListen(address string) Option {
	return func(n *Node) { n.listenTargets = address }
}

// WithAdvertise sets the addresses under which targets and other processes reach
// the node. By default they are the listening addresses.
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

// WithRandom sets the random source, which the node alone uses from then on.
func WithRandom(r sardine.Random) Option {
	return func(n *Node) { n.random = r }
}

// WithLogger sets where events are written.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.log = l }
}

// WithTiming sets the times.
func WithTiming(t Timing) Option {
	return func(n *Node) { n.timing = t }
}

// WithLimits sets the bounds on callers.
func WithLimits(l Limits) Option {
	return func(n *Node) { n.limits = l }
}

// WithPorts sets what callers and targets speak, instead of the product's own
// interface, and how operators' layouts are read. Callers are then served by the
// layout's routes.
func WithPorts(callers sardine.CallerPort, targets sardine.TargetPort, layouts sardine.LayoutCodec) Option {
	return func(n *Node) {
		n.byLayout = true
		n.callers = callers
		n.targetPort = targets
		n.layouts = layouts
	}
}

// WithReadyListen sets an address of its own for the balancer's question.
func WithReadyListen(address string) Option {
	return func(n *Node) { n.listenReady = address }
}

// WithMetrics serves the metrics on an address of their own too, and tells them
// how many log lines were dropped.
func WithMetrics(address string, linesDropped func() int) Option {
	return func(n *Node) {
		n.listenMetrics = address
		n.linesDropped = linesDropped
	}
}

// WithRepeats bounds how often requests are sent again, over all entry nodes: a
// share of the first requests and a slack, in any span of the window.
func WithRepeats(ratio, slack float64, window sardine.Millis) Option {
	return func(n *Node) {
		n.repeatRatio = ratio
		n.repeatSlack = slack
		n.repeatWindow = window
	}
}

// WithKeys sets the certificates. The default is plain HTTP.
func WithKeys(s *keys.Set) Option {
	return func(n *Node) { n.keys = s }
}

// WithOperatorHash sets the hash of the first operator's token.
func WithOperatorHash(hash []byte) Option {
	return func(n *Node) { n.operatorHash = hash }
}

// WithTargetTokens sets whether targets must show a token of the scope target
// when they announce themselves.
func WithTargetTokens(on bool) Option {
	return func(n *Node) { n.targetTokens = on }
}

// WithDial sets how control nodes and other entry nodes are connected to. It is
// for plain HTTP only.
func WithDial(d sardine.Dial) Option {
	return func(n *Node) { n.dial = d }
}
