package ctrl

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/listen"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/peer"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/status"
	"sardineswitch.dev/sardine/upload"
	"sardineswitch.dev/sardine/wire"
)

// Node is one control node. New, Start and Stop are called once each.
type Node struct {
	id              sardine.NodeID
	site            string
	dataCentre      sardine.DataCentre
	listenInternal  string
	listenOperators string
	members         []quorum.Member
	disk            sardine.Disk
	clock           sardine.Clock
	random          sardine.Random
	logger          *slog.Logger
	timing          Timing
	dial            sardine.Dial // nil for the default dialer
	engines         sardine.EngineClient
	ownEngines      *order.Client // closed by the node, nil if engines was given
	policy          plan.Policy
	limits          plan.Limits
	operatorHash    []byte
	keys            *keys.Set
	port            sardine.ControlPort // nil: operators and targets use sardineswitch's own interface
	listenControl   string
	listenMetrics   string
	linesDropped    func() int // number of log lines dropped since the start
	seeds           []string   // addresses of control nodes that this node asks to enrol it
	managesMembers  bool
	seedsMu         sync.Mutex // guards seeds while the node runs
	access          *oper.Authoriser

	log            *repl.Node
	link           *peer.Link
	leadership     *leadership
	collector      *targetCollector // nil without a port
	settingsCache  *settingsCache
	leasesGranted  *broadcast
	wake           chan struct{} // triggers a round of the leader loop
	pollsWake      chan struct{} // makes the follow loop check when polls are due
	orders         *ring.Ring[plan.SendOrder]
	strikeSlots    chan struct{} // holds an item for each strike that is being committed
	internalServer *listen.Server
	operatorServer *listen.Server
	portServer     *listen.Server // nil without a port
	uploads        *upload.Budget
	uploadBytes    int64
	parsing        sync.Mutex     // held while a long layout is decoded
	controlClient  *ctlapi.Client // client for the other control nodes
	layoutCache    *layoutCache
	instruments    *instruments
	metricsServer  *listen.Server // nil without a separate metrics address
	historyMu      sync.Mutex
	history        *status.History

	tomb         tomb.Tomb
	quorumRounds sync.WaitGroup  // quorum rounds in progress
	runCtx       context.Context // done when the node stops
	cancelRun    context.CancelFunc

	transferCtx    context.Context // done when leadership is no longer to be transferred
	cancelTransfer context.CancelFunc
}

// New opens the data folder and the listeners and returns a node that is not yet
// running. Errors: codes.BadSettings and those of repl.New.
func New(options ...Option) (*Node, error) {
	n := &Node{
		clock:         clock.NewReal(),
		logger:        logs.Discard(),
		timing:        DefaultTiming(),
		policy:        plan.NewCheapest(),
		limits:        plan.DefaultLimits(),
		settingsCache: newSettingsCache(),
		leasesGranted: newBroadcast(),
		history:       status.NewHistory(),
		layoutCache:   &layoutCache{},
		uploadBytes:   defaultUploadBytes,

		linesDropped: func() int { return 0 },
		keys:         keys.Plain(),
		wake:         make(chan struct{}, 1),
		pollsWake:    make(chan struct{}, 1),
		orders:       ring.New[plan.SendOrder](orderQueue, ring.Block),
		strikeSlots:  make(chan struct{}, maxStrikeProposals),
	}
	for _, o := range options {
		o(n)
	}
	if n.id == "" || n.disk == nil || n.random == nil {
		return nil, codes.New(codes.BadSettings, "a control node needs a name, a disk and a random source")
	}
	if n.engines == nil {
		n.ownEngines = order.NewClient()
		n.engines = n.ownEngines
	}
	n.access = oper.NewAuthoriser(n.operatorHash, n.clock, n.logger)
	n.uploads = upload.NewBudget(n.clock, n.uploadBytes)
	n.limits.OrderTimeout = n.timing.OrderTimeout
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.transferCtx, n.cancelTransfer = context.WithCancel(context.Background())
	if err := n.open(); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	var err error
	if n.internalServer, err = listen.New(n.listenInternal, listen.WithTLS(n.keys.InternalServer())); err != nil {
		return err
	}
	if n.operatorServer, err = listen.New(n.listenOperators, listen.WithTLS(n.keys.OperatorServer())); err != nil {
		return err
	}
	if n.port != nil {
		if n.portServer, err = listen.New(n.listenControl); err != nil {
			return err
		}
	}
	if n.listenMetrics != "" {
		if n.metricsServer, err = listen.New(n.listenMetrics); err != nil {
			return err
		}
	}
	if n.instruments, err = newInstruments(); err != nil {
		return err
	}
	n.link = peer.NewLink(n.site, n.id, n.internalServer.Address(), n.linkOptions()...)
	n.log, err = repl.New(n.logOptions()...)
	if err != nil {
		return err
	}
	client, scheme := n.keys.Client(maxIdlePerControl)
	n.controlClient = ctlapi.New(nil, ctlapi.WithHTTP(client, scheme))
	n.leadership = newLeadership(n.id, n.timing, plan.New(plan.WithPolicy(n.policy), plan.WithLimits(n.limits)))
	if n.port != nil {
		// Higher than at an earlier start; if not, the leader's reply corrects it.
		started := sardine.Incarnation(time.Now().UnixMilli())
		n.collector = newTargetCollector(n.clock.Now(), n.id, n.portServer.Address(), started, n.timing)
	}
	return n.instruments.meter.Gauges(n.gauges())
}

// sleep waits for d, or until the node stops.
func (n *Node) sleep(d sardine.Millis) error {
	select {
	case <-n.tomb.Dying():
		return tomb.ErrDying
	case <-n.clock.After(d):
		return nil
	}
}

func (n *Node) logOptions() []repl.Option {
	options := []repl.Option{
		repl.WithID(n.id),
		repl.WithSite(n.site),
		repl.WithMembers(n.members),
		repl.WithDisk(timedDisk{Disk: n.disk, clock: n.clock, syncs: n.instruments.syncs}),
		repl.WithClock(n.clock),
		repl.WithRandom(n.random),
		repl.WithLink(n.link),
		repl.WithLogger(n.logger),
		repl.WithTiming(n.timing.Quorum),
	}
	if n.managesMembers {
		options = append(options, repl.WithSingleBootstrap())
	}
	return options
}

func (n *Node) linkOptions() []peer.Option {
	options := []peer.Option{peer.WithLogger(n.logger)}
	if client := n.keys.LinkClient(); client != nil {
		options = append(options, peer.WithClient(client), peer.WithScheme("https"))
	} else if n.dial != nil {
		transport := peer.NewTransport()
		transport.DialContext = n.dial
		options = append(options, peer.WithClient(&http.Client{Transport: transport}))
	}
	return options
}

// internalMux routes the requests of the site's other processes.
func (n *Node) internalMux() http.Handler {
	mux := goji.NewMux()
	prefix, peers := peer.NewServer(n.site, n.log, n.link).Handler()
	mux.Handle(pat.New(prefix+"*"), n.keys.SiteOnly(peers, rejectUnknownPeer))
	control := oper.WithSource(wire.NewControlServer(n))
	mux.Handle(pat.New(wire.ControlPathPrefix+"Layout"), n.keys.SiteOnly(n.limitBodies(maxForwardedBytes, control), rejectUnknownPeer))
	mux.Handle(pat.New(wire.ControlPathPrefix+"*"), n.keys.SiteOnly(control, rejectUnknownPeer))
	n.addOperations(mux)
	return mux
}

// rejectUnknownPeer answers a caller without a valid certificate of the site.
func rejectUnknownPeer(w http.ResponseWriter, _ *http.Request) {
	writeError(w, codes.New(codes.KeyRefused, "only the site's own processes, with a certificate of its CA, may call this"))
}

// operatorMux routes the requests of sardctl. It does not serve those of entry nodes,
// which need no token.
func (n *Node) operatorMux() http.Handler {
	mux := goji.NewMux()
	control := oper.WithSource(wire.NewControlServer(n))
	for _, method := range []string{"Settings", "Members"} {
		mux.Handle(pat.New(wire.ControlPathPrefix+method), n.limitBodies(maxOperatorBytes, control))
	}
	operations := oper.Handler(backend{node: n})
	for _, path := range []string{oper.LeavePath, oper.PoisonPath, oper.TokensPath} {
		mux.Handle(pat.New(path), n.limitBodies(maxOperatorBytes, operations))
	}
	n.addOperations(mux)
	return mux
}

// InternalAddress returns the address of the internal server.
func (n *Node) InternalAddress() string {
	return n.internalServer.Address()
}

// OperatorAddress returns the address of the operators' server.
func (n *Node) OperatorAddress() string {
	return n.operatorServer.Address()
}

// ID returns the node's name.
func (n *Node) ID() sardine.NodeID {
	return n.id
}

// Start starts the servers and the background loops.
func (n *Node) Start() {
	n.log.Start()
	n.tomb.Go(func() error { return n.internalServer.Serve(n.internalMux()) })
	n.tomb.Go(func() error { return n.operatorServer.Serve(n.operatorMux()) })
	n.tomb.Go(n.leaderLoop)
	n.tomb.Go(n.followLoop)
	for range orderSenders {
		n.tomb.Go(n.orderLoop)
	}
	if n.port != nil {
		n.tomb.Go(n.reportLoop)
		n.tomb.Go(func() error { return n.portServer.Serve(n.port.Handler(portBackend{node: n}, bodyReader{n.uploads})) })
	}
	if n.metricsServer != nil {
		n.tomb.Go(func() error { return n.metricsServer.Serve(n.instruments.meter.Page()) })
	}
	if n.managesMembers {
		n.tomb.Go(n.membershipLoop)
		n.tomb.Go(n.enrolLoop)
	}
	n.tomb.Go(n.watchLog)
	n.tomb.Go(n.historyLoop)
	n.tomb.Go(n.loadLoop)
	n.tomb.Go(func() error { return n.keys.Watch(n.tomb.Dying(), n.clock, n.logger) })
	n.tomb.Go(n.close)
	event.Log(n.logger, event.NodeStarted,
		slog.String("internal", n.internalServer.Address()), slog.String("operators", n.operatorServer.Address()))
}

// watchLog stops the node when its log has failed.
func (n *Node) watchLog() error {
	select {
	case <-n.tomb.Dying():
		return nil
	case <-n.log.Dying():
		return n.log.Err()
	}
}

// close waits until the node stops, then stops the log and the servers. The log stops
// first because it needs the servers to transfer leadership.
func (n *Node) close() error {
	<-n.tomb.Dying()
	err := n.log.Stop(n.transferCtx)
	n.release()
	return err
}

// Done returns a channel that is closed when all background loops have ended.
func (n *Node) Done() <-chan struct{} {
	return n.tomb.Dead()
}

// Stop transfers leadership, if the node leads, for as long as ctx is not done; if
// ctx is done already, it does not try to. Then it ends the background loops and
// releases every goroutine, socket and file. It returns the error that had stopped
// the node before, if any.
func (n *Node) Stop(ctx context.Context) error {
	if ctx.Err() != nil { // AfterFunc runs in a goroutine and would race with the transfer
		n.cancelTransfer()
	}
	stop := context.AfterFunc(ctx, n.cancelTransfer)
	defer stop()
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.quorumRounds.Wait()
	event.Log(n.logger, event.NodeStopped)
	return err
}

// release closes everything that New has opened.
func (n *Node) release() {
	n.cancelRun()
	n.cancelTransfer()
	for _, s := range []*listen.Server{n.internalServer, n.operatorServer, n.portServer, n.metricsServer} {
		if s != nil {
			_ = s.Close() // the process ends; callers see a closed connection
		}
	}
	if n.instruments != nil {
		_ = n.instruments.meter.Close() // nothing reads the metrics any more
	}
	if n.controlClient != nil {
		n.controlClient.Close()
	}
	if n.link != nil {
		_ = n.link.Close() // the log resends what is lost
	}
	if n.ownEngines != nil {
		n.ownEngines.Close()
	}
}
