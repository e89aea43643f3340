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
	"sardineswitch.dev/sardine/upload"
)

// Node is one entry node. Call New, Start and Stop once each.
type Node struct {
	id                sardine.NodeID
	incarnation       sardine.Incarnation
	dataCentre        sardine.DataCentre
	listenPublic      string
	listenTargets     string // if empty, announcements arrive at listenPublic
	listenInternal    string
	advertiseTargets  string
	advertiseInternal string
	controls          []string
	controlsMu        sync.Mutex // guards controls after Start
	clock             sardine.Clock
	random            sardine.Random
	log               *slog.Logger
	timing            Timing
	limits            Limits
	dial              sardine.Dial // nil: the default dialer
	targetDial        sardine.Dial // nil: the pool's dialer
	byLayout          bool         // callers are served according to the layout's routes
	callers           sardine.CallerPort
	targetPort        sardine.TargetPort
	layouts           sardine.LayoutCodec
	listenMetrics     string
	linesDropped      func() int // number of log lines dropped since the start
	listenReady       string
	retryRatio        float64
	retryAllowance    float64
	retryWindow       sardine.Millis
	keys              *keys.Set
	operatorHash      []byte
	targetTokens      bool
	access            *oper.Authoriser

	public            *listen.Server
	targets           *listen.Server // nil without a separate address
	internal          *listen.Server
	internalClient    *http.Client
	internalScheme    string
	control           *ctlapi.Client
	ready             *listen.Server // nil without a separate address
	metrics           *listen.Server // nil without a separate address
	pool              *pool.Pool     // nil until open has run
	proxy             *proxy.Client
	passPool          *pool.Pool    // connections to other entry nodes
	passes            *proxy.Client // passes requests to them
	peers             *peers        // nil unless byLayout
	taken             taken         // requests that other entry nodes have passed to this one
	retries           *retryLimit
	health            *healthTracker
	moves             *moveSchedule        // nil unless byLayout
	waitEstimator     *place.WaitEstimator // how long callers wait, by route
	batchBounds       *place.BatchLimiter  // how full batches may be, by deployment
	stallNotice       chan struct{}        // wakes the loop that reports target health
	healthReportsLost bool                 // the leader does not accept health reports; used by that loop only
	startedAt         sardine.Millis
	configuredLayout  uint64      // number of the layout whose engines are configured; used by the follow loop only
	openingTraffic    atomic.Bool // an OpenTraffic command is in progress
	gate              *gate
	inFlight          *inFlight
	links             *isolation
	claims            *claims
	guards            *guards
	checks            *checks
	strikes           *strikes
	answers           *serve.Budget // of answers that are held until they are whole
	uploads           *upload.Budget
	follower          *follower
	meter             *instruments
	traces            *trace.Ring
	history           *status.History // used by the follow loop only

	homeMu      sync.Mutex
	home        *fleet.Home
	homeChanged bool // something other than a load has changed since the last report

	limitMu sync.Mutex
	limiter *limit.Limiter

	invalidLimits sync.Map // targets whose invalid limit was logged: VM to incarnation

	published atomic.Pointer[published]
	requests  atomic.Uint64
	draining  atomic.Bool
	drainEnd  atomic.Int64 // when the requests still running are cut off, in milliseconds
	drainOnce sync.Once
	violation atomic.Pointer[error]

	tomb        tomb.Tomb
	baseCtx     context.Context // ends when the node stops
	cancelBase  context.CancelFunc
	drainCtx    context.Context // ends when the drain time has passed
	cancelDrain context.CancelFunc
}

// New opens the listeners and returns a node that is not started yet. Errors
// have the code codes.BadSettings.
func New(options ...Option) (*Node, error) {
	n := &Node{
		clock:    clock.NewReal(),
		log:      logs.Discard(),
		timing:   DefaultTiming(),
		limits:   DefaultLimits(),
		inFlight: newInFlight(),
		history:  status.NewHistory(),
		keys:     keys.Plain(),
		traces:   trace.NewRing(),

		callers:      reply.NewCallerPort(),
		linesDropped: func() int { return 0 },
		targetPort:   serve.NewTargetPort(),
	}
	for _, o := range options {
		o(n)
	}
	if n.id == "" || n.incarnation == 0 || n.random == nil || len(n.controls) == 0 {
		return nil, codes.New(codes.BadSettings, "an entry node needs a name, an incarnation, a random source and control nodes")
	}
	n.access = oper.NewAuthoriser(n.operatorHash, n.clock, n.log)
	n.random = newSharedRandom(n.random)
	n.baseCtx, n.cancelBase = context.WithCancel(context.Background())
	n.drainCtx, n.cancelDrain = context.WithCancel(context.Background())
	if err := n.open(); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	var err error
	n.uploads = upload.NewBudget(n.clock, n.limits.UploadBytes)
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
	n.gate = newGate(n.id, n.clock, n.random, route.New(n.random, n.routeOptions()...))
	n.pool = pool.New(n.clock, n.poolOptions()...)
	n.proxy = proxy.NewClient(n.pool, n.targetPort)
	n.passPool = pool.New(n.clock, n.passOptions()...)
	n.passes = proxy.NewClient(n.passPool, passPort{})
	if n.byLayout {
		n.health = newHealthTracker(n.clock)
		n.peers = newPeers(n)
		n.moves = newMoveSchedule(n.random)
		n.stallNotice = make(chan struct{}, 1)
		n.retries = newRetryLimit(n.incarnation, n.clock.Now(), retry.NewWindow(n.retryRatio, n.retryAllowance, n.retryWindow))
	}
	n.links = newIsolation(n)
	n.home = fleet.NewHome(n.id, n.incarnation, fleet.WithLease(n.timing.TargetLease))
	n.waitEstimator = place.NewWaitEstimator()
	n.batchBounds = place.NewBatchLimiter()
	n.limiter = limit.NewLimiter(n.id, n.random)
	n.claims = newClaims(n)
	n.guards = newGuards(n)
	n.checks = newChecks(n)
	n.strikes = newStrikes(n)
	n.answers = serve.NewBudget(heldAnswerBytes)
	n.follower = newFollower(n)
	return nil
}

func (n *Node) openServers() error {
	var err error
	n.public, err = listen.New(
		n.listenPublic,
		listen.WithLimits(n.firstLimits()),
		listen.WithHeadBudget(n.headBudget()),
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
	n.internal, err = listen.New(
		n.listenInternal,
		listen.WithHeaderBytes(n.firstLimits().HeaderBytes+passHeaderBytes),
		listen.WithTLS(n.keys.InternalServer()),
	)
	if err != nil {
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

// routeOptions returns the options of the router. Engines behind custom ports
// keep no prompt cache after a request, so only their load counts.
func (n *Node) routeOptions() []route.Option {
	if !n.byLayout {
		return nil
	}
	return []route.Option{route.WithPolicy(route.Batch), route.WithHints(0)}
}

func (n *Node) poolOptions() []pool.Option {
	if n.targetDial == nil {
		return nil
	}
	return []pool.Option{pool.WithDial(n.targetDial)}
}

func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

// PublicAddress returns the address for callers and, unless they have a
// separate one, for targets.
func (n *Node) PublicAddress() string {
	return n.public.Address()
}

// TargetAddress returns the address for announcements from targets.
func (n *Node) TargetAddress() string {
	if n.targets == nil {
		return n.public.Address()
	}
	return n.targets.Address()
}

// InternalAddress returns the address for other nodes and operators.
func (n *Node) InternalAddress() string {
	return n.internal.Address()
}

// ID returns the node's name.
func (n *Node) ID() sardine.NodeID {
	return n.id
}

// Start starts the servers and the background loops.
func (n *Node) Start() {
	n.startedAt = n.clock.Now()
	n.published.Store(&published{view: emptyView()})
	n.tomb.Go(func() error { return n.public.Serve(n.callersMux()) })
	if n.byLayout {
		n.tomb.Go(n.reportHealth)
		n.tomb.Go(n.peers.run)
		n.tomb.Go(n.refreshControls)
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
	n.tomb.Go(n.links.run)
	n.tomb.Go(n.strikes.report)
	n.tomb.Go(n.refreshShares)
	n.tomb.Go(func() error { return n.keys.Watch(n.tomb.Dying(), n.clock, n.log) })
	n.tomb.Go(n.close)
	event.Log(n.log, event.NodeStarted, slog.String("public", n.public.Address()), slog.String("internal", n.internal.Address()))
}

// close waits until the node stops, then closes the servers.
func (n *Node) close() error {
	<-n.tomb.Dying()
	n.release()
	return nil
}

// tickInterval is the time between two checks for timeouts and other due work.
const tickInterval = 50 * sardine.Millis(1)

// tick is the loop that passes the time to the cores.
func (n *Node) tick() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(tickInterval):
		}
		n.expireTargets()
		n.gate.tick(n.view().routeNames)
		n.claims.tick()
		n.guards.tick()
		n.checks.tick()
		n.strikes.tick()
		n.pool.CloseExpired()
		n.passPool.CloseExpired()
		if n.health != nil {
			n.checkStalls()
		}
		n.logRetryCounts(false)
	}
}

// view returns the state that requests are served from.
func (n *Node) view() *view {
	return n.published.Load().view
}

// callersMux serves callers through the caller port according to the layout, or
// through the built-in API.
func (n *Node) callersMux() http.Handler {
	if n.byLayout {
		return n.routedMux()
	}
	return n.publicMux()
}

// mayServe returns an error if the node may not dispatch: it has no serving
// lease, or an invariant was violated. The clock is read after the lease is
// loaded, so a pause of the process in between can't extend the lease.
func (n *Node) mayServe() error {
	return n.mayServeUnder(sardine.CutRefuseRequests)
}

// mayServeUnder is mayServe for a team with the given cut policy. Under
// hold_changes a node that is cut off from the control nodes continues to
// serve, because changes of the team's settings wait for it.
func (n *Node) mayServeUnder(policy sardine.CutPolicy) error {
	if err := n.invariantError(); err != nil {
		return err
	}
	lease := n.published.Load().lease
	if !lease.ServingTeam(n.clock.Now(), policy) {
		return codes.New(codes.NoLease, "this entry node is cut off from the control quorum")
	}
	return nil
}

// mayAccept returns an error if the load balancer should not send callers to
// this node.
func (n *Node) mayAccept() error {
	if n.draining.Load() {
		return codes.New(codes.Draining, "this entry node is shutting down")
	}
	return n.mayServe()
}

// recordViolation records that an internal check failed. The node refuses
// requests from then on.
func (n *Node) recordViolation(err error) {
	if n.violation.CompareAndSwap(nil, &err) {
		event.Log(n.log, event.InvariantBroken, codeAttr(err))
	}
}

func (n *Node) invariantError() error {
	if err := n.violation.Load(); err != nil {
		return *err
	}
	return nil
}

// sleep waits for d or until ctx is done.
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
