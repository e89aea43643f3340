// Package engine is a stand-in for a model engine VM: it announces itself,
// takes orders, loads weights and answers completion requests with text that a
// checker can predict. Many fit in one process.
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

// Loader delivers weights. Implementations: weight.Store, weight.Remote.
type Loader interface {
	Load(ctx context.Context, m sardine.ModelName, version string) error
}

// Engine is one engine VM. Start and Stop may alternate; each start is a new
// incarnation.
type Engine struct {
	settings settings
	faults   *Faults

	mu       sync.Mutex
	duties   *tomb.Tomb
	server   *http.Server
	address  string
	holding  sardine.Holding
	order    sardine.Order
	epoch    sardine.Epoch // highest taken
	ctx      context.Context
	cancel   context.CancelFunc // ends the work of the held order
	leaving  bool
	running  bool
	paused   chan struct{} // closed on Resume, nil when not paused
	rate     float64       // tokens per second in the last window
	tokens   int           // since rated
	rated    time.Time
	batch    chan struct{}
	queued   int
	starts   map[string]int
	finished int
	aborted  int
	caller   *callup.Caller
}

// New returns an engine that is not started.
func New(options ...Option) *Engine {
	s := defaults()
	for _, o := range options {
		o(&s)
	}
	return &Engine{settings: s, faults: newFaults(), starts: map[string]int{}}
}

// Start listens and begins to announce. Each start after the first raises the
// incarnation and forgets the order.
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
	e.holding, e.order, e.epoch = sardine.Holding{}, sardine.Order{}, 0
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.leaving, e.running, e.paused = false, true, nil
	e.batch = make(chan struct{}, e.settings.batch)
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	e.duties = &tomb.Tomb{}
	server, duties := e.server, e.duties
	duties.Go(func() error {
		_ = server.Serve(listener) // ends when the server is closed
		return nil
	})
	e.caller = callup.New(e.settings.balancer, e.settings.interval, e.Announcement)
	duties.Go(func() error { return e.caller.Run(duties.Context(context.Background()), e.waitRunning) })
	return nil
}

// Stop ends the engine at once and waits for its goroutines. Connections are
// closed.
func (e *Engine) Stop() {
	if duties := e.end(); duties != nil {
		_ = duties.Wait()
	}
}

// Die ends the engine as a crash does: without a word, connections broken, nobody
// listening any more. It does not wait for its goroutines, so that a handler may call
// it.
func (e *Engine) Die() {
	e.end()
}

// end closes the engine's sockets. It returns what is left to wait for, nil if the
// engine had ended before.
func (e *Engine) end() *tomb.Tomb {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return nil
	}
	e.running = false
	e.detach()
	e.cancel()
	e.unpause()
	server, duties := e.server, e.duties
	e.mu.Unlock()
	duties.Kill(nil)
	_ = server.Close()
	return duties
}

// Pause freezes the engine: it neither announces, generates nor answers. Its
// group lacks it meanwhile.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil && e.running {
		e.paused = make(chan struct{})
		e.detach()
	}
}

// Resume ends a pause; the engine believes what it believed before.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unpause()
	if e.running && e.holding.State == sardine.MemberReady {
		e.settings.fabric.join(e.order)
	}
}

// Leave announces that the engine leaves; it refuses new requests from now on
// and finishes those that run.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	caller := e.caller
	e.mu.Unlock()
	if caller != nil {
		caller.Now()
	}
}

// Faults returns the engine's faults, to switch them on.
func (e *Engine) Faults() *Faults {
	return e.faults
}

// Address returns host:port of the HTTP server since the last start.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// VM returns the engine's name.
func (e *Engine) VM() sardine.VMID {
	return e.settings.vm
}

// Running reports whether the engine is started.
func (e *Engine) Running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Holding returns the order that the engine carries out.
func (e *Engine) Holding() sardine.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding
}

// Starts returns how often the request with this id was begun.
func (e *Engine) Starts(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[id]
}

// Counts returns how many requests were finished and how many were given up
// because the caller or the group had gone.
func (e *Engine) Counts() (finished, aborted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished, e.aborted
}

// Announcement returns what the engine says about itself now.
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
		Holding:      e.holding,
		Load:         e.load(),
	}
}

func (e *Engine) load() sardine.Load {
	return sardine.Load{
		Running:         len(e.batch),
		Queued:          e.queued,
		TokensPerSecond: e.rate,
		StepMillis:      float64(e.settings.tokenTime) * e.faults.slowness(),
	}
}

func (e *Engine) detach() {
	if e.order.Group != "" {
		e.settings.fabric.drop(e.order)
	}
}

func (e *Engine) unpause() {
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
