// Package engine is a stand-in for a model engine VM. It announces itself,
// carries out orders, loads weights and answers completion requests with text
// that tests can predict. Many engines can run in one process.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/callup"
)

// Loader loads the weights of a model. Implementations: weight.Store,
// weight.RemoteStore.
type Loader interface {
	Load(ctx context.Context, m sardine.ModelName, version string) error
}

// Engine is one engine VM. Start and Stop may alternate; each start is a new
// incarnation.
type Engine struct {
	settings settings
	faults   *Faults

	mu           sync.Mutex
	tasks        *tomb.Tomb
	server       *http.Server
	address      string
	currentOrder sardine.CurrentOrder
	order        sardine.Order
	epoch        sardine.Epoch // highest accepted
	ctx          context.Context
	cancel       context.CancelFunc // cancels the requests and the loading of the current order
	leaving      bool
	running      bool
	paused       chan struct{} // closed by Resume; nil when not paused
	rate         float64       // tokens per second in the last window
	rateTokens   int           // generated since rateStart
	rateStart    time.Time     // start of the current window
	batch        chan struct{} // holds an element for each running request
	queued       int
	starts       map[string]int // by request ID
	finished     int
	aborted      int
	announcer    *callup.Announcer
}

// New returns an engine that is not started.
func New(options ...Option) *Engine {
	s := defaults()
	for _, o := range options {
		o(&s)
	}
	return &Engine{settings: s, faults: newFaults(), starts: map[string]int{}}
}

// Start starts the server and the announcements. Each start increments the
// incarnation and begins without an order.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		return nil
	}
	listener, err := net.Listen("tcp", e.settings.listen)
	if err != nil {
		return err
	}
	e.settings.incarnation++
	e.address = listener.Addr().String()
	e.currentOrder, e.order, e.epoch = sardine.CurrentOrder{}, sardine.Order{}, 0
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.leaving, e.running, e.paused = false, true, nil
	e.batch = make(chan struct{}, e.settings.batch)
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	e.tasks = &tomb.Tomb{}
	server, tasks := e.server, e.tasks
	tasks.Go(func() error {
		_ = server.Serve(listener) // ends when the server is closed
		return nil
	})
	e.announcer = callup.New(e.settings.balancer, e.settings.interval, e.Announcement)
	tasks.Go(func() error { return e.announcer.Run(tasks.Context(context.Background()), e.waitRunning) })
	return nil
}

// Stop stops the engine immediately, closes its connections and waits for its
// goroutines.
func (e *Engine) Stop() {
	if tasks := e.shutDown(); tasks != nil {
		_ = tasks.Wait()
	}
}

// Crash stops the engine as a crash does: it closes the listener and all
// connections without an announcement. It does not wait for its goroutines, so
// that a handler may call it.
func (e *Engine) Crash() {
	e.shutDown()
}

// shutDown closes the engine's sockets. It returns the goroutines to wait for,
// or nil if the engine was not running.
func (e *Engine) shutDown() *tomb.Tomb {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return nil
	}
	e.running = false
	e.leaveFabric()
	e.cancel()
	e.endPause()
	server, tasks := e.server, e.tasks
	e.mu.Unlock()
	tasks.Kill(nil)
	_ = server.Close()
	return tasks
}

// Pause freezes the engine: it neither announces itself nor generates tokens
// nor answers, and is missing from its group.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil && e.running {
		e.paused = make(chan struct{})
		e.leaveFabric()
	}
}

// Resume ends a pause. The engine continues with the state it had before.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endPause()
	if e.running && e.currentOrder.State == sardine.MemberReady {
		e.settings.fabric.add(e.order)
	}
}

// Leave announces that the engine leaves. It rejects new requests from then on
// and finishes those that run.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	announcer := e.announcer
	e.mu.Unlock()
	if announcer != nil {
		announcer.AnnounceNow()
	}
}

// Faults returns the fault injector of the engine.
func (e *Engine) Faults() *Faults {
	return e.faults
}

// Address returns the address of the HTTP server since the last start,
// host:port.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// VM returns the VM's name.
func (e *Engine) VM() sardine.VMID {
	return e.settings.vm
}

// Running reports whether the engine is running.
func (e *Engine) Running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// CurrentOrder returns the group membership that the engine has by its current
// order.
func (e *Engine) CurrentOrder() sardine.CurrentOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentOrder
}

// Starts returns how often a request with this ID was started.
func (e *Engine) Starts(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[id]
}

// Counts returns how many requests were completed and how many were aborted,
// by a fault or because the caller disconnected or the group was dissolved.
func (e *Engine) Counts() (finished, aborted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished, e.aborted
}

// Announcement returns the engine's current announcement.
func (e *Engine) Announcement() sardine.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sardine.Announcement{
		VM:           e.settings.vm,
		Incarnation:  e.settings.incarnation,
		Kind:         sardine.KindEngine,
		Address:      e.address,
		DataCentre:   e.settings.dataCentre,
		Domain:       e.settings.domain,
		Accelerators: e.settings.accelerators,
		Loadable:     e.settings.loadable,
		ChecksEpoch:  e.settings.checksEpoch,
		Leaving:      e.leaving,
		CurrentOrder: e.currentOrder,
		Load:         e.load(),
	}
}

func (e *Engine) load() sardine.Load {
	return sardine.Load{
		Running:         len(e.batch),
		Queued:          e.queued,
		TokensPerSecond: e.rate,
		StepMillis:      float64(e.settings.tokenTime) * e.faults.slowFactor(),
	}
}

func (e *Engine) leaveFabric() {
	if e.order.Group != "" {
		e.settings.fabric.remove(e.order)
	}
}

func (e *Engine) endPause() {
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}

// waitRunning returns once the engine is not paused, or with the error of ctx.
func (e *Engine) waitRunning(ctx context.Context) error {
	e.mu.Lock()
	paused := e.paused
	e.mu.Unlock()
	if paused == nil {
		return ctx.Err()
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
