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
	dial            sardine.Dial // nil for the ordinary one
	engines         sardine.EngineClient
	ownEngines      *order.Client // closed by the node, nil if engines was given
	policy          plan.Policy
	limits          plan.Limits
	operatorHash    []byte
	keys            *keys.Set
	port            sardine.ControlPort // nil: operators and targets use the product's own interface
	listenControl   string
	listenMetrics   string
	linesDropped    func() int // log lines, since the start
	seeds           []string   // addresses of control nodes to ask for membership
	discovers       bool
	seedsMu         sync.Mutex // guards seeds once the node runs
	access          *oper.Access

	log        *repl.Node
	link       *peer.Link
	leadership *leadership
	collector  *collector // nil without a port
	parsed     *parsedSettings
	granted    *signal
	wake       chan struct{}
	orders     *ring.Ring[plan.SendOrder]
	internal   *listen.Server
	operators  *listen.Server
	control    *listen.Server // nil without a port
	others     *ctlapi.Client // the other control nodes
	layouts    *layoutView
	meter      *instruments
	metrics    *listen.Server // nil without an address of their own
	historyMu  sync.Mutex
	history    *status.History

	tomb    tomb.Tomb
	rounds  sync.WaitGroup  // quorum rounds under way
	life    context.Context // ends when the node stops
	endLife context.CancelFunc

	handOver    context.Context // ends when no leadership is to be handed over any more
	endHandOver context.CancelFunc
}

// New opens the data folder and the listeners and returns a node that does not
// run yet. Errors: codes.BadSettings and those of repl.New.
func New(options ...Option) (*Node, error) {
	n := &Node{
		clock:   clock.NewReal(),
		logger:  logs.Discard(),
		timing:  DefaultTiming(),
		policy:  plan.NewCheapest(),
		limits:  plan.DefaultLimits(),
		parsed:  newParsedSettings(),
		granted: newSignal(),
		history: status.NewHistory(),
		layouts: &layoutView{},

		linesDropped: func() int { return 0 },
		keys:         keys.Plain(),
		wake:         make(chan struct{}, 1),
		orders:       ring.New[plan.SendOrder](orderQueue, ring.Wait),
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
	n.access = oper.NewAccess(n.operatorHash, n.clock, n.logger)
	n.limits.OrderTimeout = n.timing.Order
	n.life, n.endLife = context.WithCancel(context.Background())
	n.handOver, n.endHandOver = context.WithCancel(context.Background())
	if err := n.open(); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	var err error
	if n.internal, err = listen.New(n.listenInternal, listen.WithTLS(n.keys.InternalServer())); err != nil {
		return err
	}
	if n.operators, err = listen.New(n.listenOperators, listen.WithTLS(n.keys.OperatorServer())); err != nil {
		return err
	}
	if n.port != nil {
		if n.control, err = listen.New(n.listenControl); err != nil {
			return err
		}
	}
	if n.listenMetrics != "" {
		if n.metrics, err = listen.New(n.listenMetrics); err != nil {
			return err
		}
	}
	if n.meter, err = newInstruments(); err != nil {
		return err
	}
	n.link = peer.NewLink(n.site, n.id, n.internal.Address(), n.linkOptions()...)
	n.log, err = repl.New(n.logOptions()...)
	if err != nil {
		return err
	}
	client, scheme := n.keys.Client(maxIdleOthers)
	n.others = ctlapi.New(nil, ctlapi.WithHTTP(client, scheme))
	n.leadership = newLeadership(n.id, n.timing, plan.New(plan.WithPolicy(n.policy), plan.WithLimits(n.limits)), n.log.SpreadSnapshot)
	if n.port != nil {
		started := sardine.Incarnation(time.Now().UnixMilli()) // later than at an earlier start, or else the leader says so
		n.collector = newCollector(n.id, started, n.timing)
	}
	return n.meter.meter.Gauges(n.gauges())
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
		repl.WithDisk(timedDisk{Disk: n.disk, clock: n.clock, syncs: n.meter.syncs}),
		repl.WithClock(n.clock),
		repl.WithRandom(n.random),
		repl.WithLink(n.link),
		repl.WithLogger(n.logger),
		repl.WithTiming(n.timing.Quorum),
	}
	if n.discovers {
		options = append(options, repl.WithFoundedOnce())
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

// internalMux routes what other processes ask.
func (n *Node) internalMux() http.Handler {
	mux := goji.NewMux()
	prefix, peers := peer.NewServer(n.site, n.log, n.link).Handler()
	mux.Handle(pat.New(prefix+"*"), n.keys.SiteOnly(peers, refuseStranger))
	control := oper.WithSource(wire.NewControlServer(n))
	mux.Handle(pat.New(wire.ControlPathPrefix+"*"), n.keys.SiteOnly(control, refuseStranger))
	n.addOperations(mux)
	return mux
}

// refuseStranger answers a caller without a certificate of the site that counts.
func refuseStranger(w http.ResponseWriter, _ *http.Request) {
	refuse(w, codes.New(codes.KeyRefused, "this is for the site's own processes, which show a certificate of its CA"))
}

// operatorMux routes what sardctl asks. What entry nodes ask is not served here:
// it needs no token.
func (n *Node) operatorMux() http.Handler {
	mux := goji.NewMux()
	control := oper.WithSource(wire.NewControlServer(n))
	for _, method := range []string{"Settings", "Members"} {
		mux.Handle(pat.New(wire.ControlPathPrefix+method), control)
	}
	operations := oper.Handler(backend{node: n})
	for _, path := range []string{oper.LeavePath, oper.PoisonPath, oper.TokensPath} {
		mux.Handle(pat.New(path), operations)
	}
	n.addOperations(mux)
	return mux
}

// InternalAddress returns the address of the internal server.
func (n *Node) InternalAddress() string {
	return n.internal.Address()
}

// OperatorAddress returns the address of the operators' server.
func (n *Node) OperatorAddress() string {
	return n.operators.Address()
}

// ID returns the node's name.
func (n *Node) ID() sardine.NodeID {
	return n.id
}

// Start starts the duties.
func (n *Node) Start() {
	n.log.Start()
	n.tomb.Go(func() error { return n.internal.Serve(n.internalMux()) })
	n.tomb.Go(func() error { return n.operators.Serve(n.operatorMux()) })
	n.tomb.Go(n.lead)
	n.tomb.Go(n.spread)
	for range orderSenders {
		n.tomb.Go(n.sendOrders)
	}
	if n.port != nil {
		n.tomb.Go(n.collect)
		n.tomb.Go(func() error { return n.control.Serve(n.port.Handler(desk{node: n})) })
	}
	if n.metrics != nil {
		n.tomb.Go(func() error { return n.metrics.Serve(n.meter.meter.Page()) })
	}
	if n.discovers {
		n.tomb.Go(n.tendMembers)
	}
	n.tomb.Go(n.watchLog)
	n.tomb.Go(n.keepHistory)
	n.tomb.Go(func() error { return n.keys.Watch(n.tomb.Dying(), n.clock, n.logger) })
	n.tomb.Go(n.close)
	event.Log(n.logger, event.NodeStarted,
		slog.String("internal", n.internal.Address()), slog.String("operators", n.operators.Address()))
}

// watchLog ends the node when its log has failed.
func (n *Node) watchLog() error {
	select {
	case <-n.tomb.Dying():
		return nil
	case <-n.log.Dying():
		return n.log.Err()
	}
}

// close is a duty: it ends the log and the servers with the other duties. The
// log ends first, because a leadership is handed over through the servers.
func (n *Node) close() error {
	<-n.tomb.Dying()
	err := n.log.Stop(n.handOver)
	n.release()
	return err
}

// Dead is closed when all duties have ended.
func (n *Node) Dead() <-chan struct{} {
	return n.tomb.Dead()
}

// Stop hands a leadership over as long as ctx lasts, not at all if it has ended, ends the duties and releases
// every goroutine, socket and file. It returns the error that had ended the node
// before, if any.
func (n *Node) Stop(ctx context.Context) error {
	if ctx.Err() != nil { // at once: AfterFunc would race with the hand-over
		n.endHandOver()
	}
	stop := context.AfterFunc(ctx, n.endHandOver)
	defer stop()
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.rounds.Wait()
	event.Log(n.logger, event.NodeStopped)
	return err
}

// release closes what New has opened.
func (n *Node) release() {
	n.endLife()
	n.endHandOver()
	for _, s := range []*listen.Server{n.internal, n.operators, n.control, n.metrics} {
		if s != nil {
			_ = s.Close() // the process ends, callers see a broken connection
		}
	}
	if n.meter != nil {
		_ = n.meter.meter.Close() // nothing reads them any more
	}
	if n.others != nil {
		n.others.Close()
	}
	if n.link != nil {
		_ = n.link.Close() // nothing is lost that the log would not repeat
	}
	if n.ownEngines != nil {
		n.ownEngines.Close()
	}
}
