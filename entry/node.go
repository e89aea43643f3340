package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/listen"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
	"sardineswitch.dev/sardine/status"
	"sardineswitch.dev/sardine/trace"
)

// Node is one entry node. New, Start and Stop are called once each.
type Node struct {
	id                sardine.NodeID
	incarnation       sardine.Incarnation
	dataCentre        sardine.DataCentre
	listenPublic      string
	listenTargets     string // empty: announcements come to listenPublic
	listenInternal    string
	advertiseTargets  string
	advertiseInternal string
	controls          []string
	seedsMu           sync.Mutex // guards controls once the node runs
	clock             sardine.Clock
	random            sardine.Random
	log               *slog.Logger
	timing            Timing
	limits            Limits
	dial              sardine.Dial // nil for the ordinary one
	byLayout          bool         // callers are served by the layout's routes
	callers           sardine.CallerPort
	targetPort        sardine.TargetPort
	layouts           sardine.LayoutCodec
	listenMetrics     string
	linesDropped      func() int // log lines, since the start
	listenReady       string
	repeatRatio       float64
	repeatSlack       float64
	repeatWindow      sardine.Millis
	keys              *keys.Set
	operatorHash      []byte
	targetTokens      bool
	access            *oper.Access

	public         *listen.Server
	targets        *listen.Server // nil without an address of its own
	internal       *listen.Server
	internalClient *http.Client
	internalScheme string
	control        *ctlapi.Client
	ready          *listen.Server // nil without an address of its own
	metrics        *listen.Server // nil without an address of its own
	pool           *pool.Pool     // nil without ports
	proxy          *proxy.Client
	repeats        *repeats
	vitals         *vitals
	turns          *turns           // nil without layouts
	patiences      *place.Patiences // of callers, by route
	paces          *place.Pace      // of deployments, by their events
	stalls         chan struct{}    // wakes the witness duty
	witnessLost    bool             // the leader takes no reports; the witness duty's
	startedAt      sardine.Millis
	configured     uint64      // number of the layout whose engines are known; the follower's
	opening        atomic.Bool // a command that opens the traffic is under way
	gate           *gate
	flights        *flights
	claims         *claims
	guards         *guards
	checks         *checks
	strikes        *strikes
	follower       *follower
	meter          *instruments
	traces         *trace.Ring
	history        *status.History // the follow duty's

	homeMu   sync.Mutex
	home     *fleet.Home
	homeNews bool // something else than a load has changed

	limitMu sync.Mutex
	limiter *limit.Limiter

	published atomic.Pointer[published]
	requests  atomic.Uint64
	draining  atomic.Bool
	drainOnce sync.Once
	breached  atomic.Pointer[error]

	tomb     tomb.Tomb
	life     context.Context // ends when the node stops
	endLife  context.CancelFunc
	drained  context.Context // ends when the drain time is over
	endDrain context.CancelFunc
}

// New opens the listeners and returns a node that does not run yet. Errors carry
// codes.BadSettings.
func New(options ...Option) (*Node, error) {
	n := &Node{
		clock:   clock.NewReal(),
		log:     logs.Discard(),
		timing:  DefaultTiming(),
		limits:  DefaultLimits(),
		flights: newFlights(),
		history: status.NewHistory(),
		keys:    keys.Plain(),
		traces:  trace.NewRing(),

		callers:      reply.NewCallers(),
		linesDropped: func() int { return 0 },
		targetPort:   serve.NewTargets(),
	}
	for _, o := range options {
		o(n)
	}
	if n.id == "" || n.incarnation == 0 || n.random == nil || len(n.controls) == 0 {
		return nil, codes.New(codes.BadSettings, "an entry node needs a name, an incarnation, a random source and control nodes")
	}
	n.access = oper.NewAccess(n.operatorHash, n.clock, n.log)
	n.random = newSharedRandom(n.random)
	n.life, n.endLife = context.WithCancel(context.Background())
	n.drained, n.endDrain = context.WithCancel(context.Background())
	if err := n.open(); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	var err error
	if err = n.openServers(); err != nil {
		return err
	}
	if n.meter, err = newInstruments(n); err != nil {
		return err
	}
	n.internalClient, n.internalScheme = n.keys.Client(maxIdleInternal)
	if t, plain := n.internalClient.Transport.(*http.Transport); plain && n.dial != nil {
		t.DialContext = n.dial
	}
	n.control = ctlapi.New(n.controls, ctlapi.WithHTTP(n.internalClient, n.internalScheme))
	n.gate = newGate(n.clock, n.random, route.New(n.random, n.routeOptions()...))
	n.pool = pool.New(n.clock)
	n.proxy = proxy.NewClient(n.pool, n.targetPort)
	if n.byLayout {
		n.vitals = newVitals(n.clock)
		n.turns = newTurns(n.random)
		n.stalls = make(chan struct{}, 1)
		n.repeats = newRepeats(n.incarnation, n.clock.Now(), retry.NewWindow(n.repeatRatio, n.repeatSlack, n.repeatWindow))
	}
	n.home = fleet.NewHome(n.id, n.incarnation, fleet.WithLease(n.timing.TargetLease))
	n.patiences = place.NewPatiences()
	n.paces = place.NewPace()
	n.limiter = limit.NewLimiter(n.id, n.random)
	n.claims = newClaims(n)
	n.guards = newGuards(n)
	n.checks = newChecks(n)
	n.strikes = newStrikes(n)
	n.follower = newFollower(n)
	return nil
}

func (n *Node) openServers() error {
	var err error
	n.public, err = listen.New(
		n.listenPublic,
		listen.WithTimeouts(n.timing.Read, n.timing.Idle),
		listen.WithHeaderBytes(n.limits.HeaderBytes),
		listen.WithConnections(n.limits.Connections),
		listen.WithTLS(n.keys.CallerServer()),
	)
	if err != nil {
		return err
	}
	if n.listenMetrics != "" {
		if n.metrics, err = listen.New(n.listenMetrics); err != nil {
			return err
		}
	}
	if n.listenReady != "" {
		if n.ready, err = listen.New(n.listenReady); err != nil {
			return err
		}
	}
	if n.internal, err = listen.New(n.listenInternal, listen.WithTLS(n.keys.InternalServer())); err != nil {
		return err
	}
	n.advertiseInternal = orElse(n.advertiseInternal, n.internal.Address())
	announced := n.public
	if n.listenTargets != "" {
		if n.targets, err = listen.New(n.listenTargets, listen.WithTLS(n.keys.CallerServer())); err != nil {
			return err
		}
		announced = n.targets
	}
	n.advertiseTargets = orElse(n.advertiseTargets, announced.Address())
	return nil
}

// routeOptions returns how targets are chosen. Behind the ports engines keep no
// prompt after its request, so that their load alone counts.
func (n *Node) routeOptions() []route.Option {
	if !n.byLayout {
		return nil
	}
	return []route.Option{route.WithPolicy(route.Batch), route.WithHints(0)}
}

func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

// PublicAddress returns the address for callers and targets.
func (n *Node) PublicAddress() string {
	return n.public.Address()
}

// TargetAddress returns the address for targets' announcements.
func (n *Node) TargetAddress() string {
	if n.targets == nil {
		return n.public.Address()
	}
	return n.targets.Address()
}

// InternalAddress returns the address for other processes and operators.
func (n *Node) InternalAddress() string {
	return n.internal.Address()
}

// ID returns the node's name.
func (n *Node) ID() sardine.NodeID {
	return n.id
}

// Start starts the duties.
func (n *Node) Start() {
	n.startedAt = n.clock.Now()
	n.published.Store(&published{view: emptyView()})
	n.tomb.Go(func() error { return n.public.Serve(n.callersMux()) })
	if n.byLayout {
		n.tomb.Go(n.witness)
		n.tomb.Go(n.learnControls)
	}
	if n.metrics != nil {
		n.tomb.Go(func() error { return n.metrics.Serve(n.meter.meter.Page()) })
	}
	if n.ready != nil {
		n.tomb.Go(func() error { return n.ready.Serve(n.readyMux()) })
	}
	n.tomb.Go(func() error { return n.internal.Serve(n.internalMux()) })
	if n.targets != nil {
		n.tomb.Go(func() error { return n.targets.Serve(n.targetMux()) })
	}
	n.tomb.Go(n.follower.run)
	n.tomb.Go(n.tick)
	n.tomb.Go(n.strikes.report)
	n.tomb.Go(n.borrow)
	n.tomb.Go(func() error { return n.keys.Watch(n.tomb.Dying(), n.clock, n.log) })
	n.tomb.Go(n.close)
	event.Log(n.log, event.NodeStarted, slog.String("public", n.public.Address()), slog.String("internal", n.internal.Address()))
}

// close is a duty: it ends the servers with the other duties.
func (n *Node) close() error {
	<-n.tomb.Dying()
	n.release()
	return nil
}

// tickEvery is the time between two looks at what has become due.
const tickEvery = 50 * sardine.Millis(1)

// tick is a duty: it lets the cores look at the clock.
func (n *Node) tick() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(tickEvery):
		}
		n.tickHome()
		n.gate.tick(n.view().routed)
		n.claims.tick()
		n.guards.tick()
		n.checks.tick()
		n.strikes.tick()
		n.pool.Tick()
		if n.vitals != nil {
			n.tickVitals()
		}
		n.tellRepeats(false)
	}
}

// view returns what requests are served by now.
func (n *Node) view() *view {
	return n.published.Load().view
}

// callersMux serves callers through the port, or by the product's own interface.
func (n *Node) callersMux() http.Handler {
	if n.byLayout {
		return n.routedMux()
	}
	return n.publicMux()
}

// mayServe refuses to dispatch without a lease or after a broken invariant. The
// clock is read after the lease was loaded, so that a pause in between is seen.
func (n *Node) mayServe() error {
	return n.mayServeUnder(sardine.CutRefuseRequests)
}

// mayServeUnder is mayServe for a team with the cut policy: under hold_changes
// the node serves on while it is cut off, because the team's changes wait.
func (n *Node) mayServeUnder(policy sardine.CutPolicy) error {
	if err := n.breach(); err != nil {
		return err
	}
	lease := n.published.Load().lease
	if !lease.ServingTeam(n.clock.Now(), policy) {
		return codes.New(codes.NoLease, "this entry node is cut off from the control quorum")
	}
	return nil
}

// mayAccept tells the balancer whether to send callers here.
func (n *Node) mayAccept() error {
	if n.draining.Load() {
		return codes.New(codes.Draining, "this entry node is shutting down")
	}
	return n.mayServe()
}

// broken notes a failed internal check. The node refuses requests from then on.
func (n *Node) broken(err error) {
	if n.breached.CompareAndSwap(nil, &err) {
		event.Log(n.log, event.InvariantBroken, codeAttr(err))
	}
}

func (n *Node) breach() error {
	if err := n.breached.Load(); err != nil {
		return *err
	}
	return nil
}

// sleep waits for d, or until ctx ends.
func (n *Node) sleep(ctx context.Context, d sardine.Millis) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-n.clock.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
