// Package plain is a stand-in for a plain service: it counts how often each
// body was run, so that a double run is seen.
package plain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/callup"
)

const maxBody = 4 << 20

// PoisonMarker ends the service that runs a body holding it.
const PoisonMarker = "[[poison]]"

// Fault is what the next requests suffer.
type Fault uint8

// The faults.
const (
	FaultNone   Fault = iota
	FaultBefore       // the connection breaks before the request is run
	FaultAfter        // the request is run, then the connection breaks
	FaultHalf         // the request is run, half of the answer is sent
)

// Plain is one plain service VM. Start and Stop may alternate; each start is a
// new incarnation.
type Plain struct {
	settings settings

	mu      sync.Mutex
	duties  *tomb.Tomb
	server  *http.Server
	caller  *callup.Caller
	address string
	running bool
	leaving bool
	active  int
	runs    map[string]int
	fault   Fault
	faults  int
	hold    sardine.Millis
}

// New returns a service that is not started.
func New(options ...Option) *Plain {
	s := defaults()
	for _, o := range options {
		o(&s)
	}
	return &Plain{settings: s, runs: map[string]int{}}
}

// Start listens and begins to announce. Runs counted before are kept.
func (p *Plain) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		return nil
	}
	listener, err := net.Listen("tcp", p.settings.listen)
	if err != nil {
		return err
	}
	p.settings.incarnation++
	p.address = listener.Addr().String()
	p.running, p.leaving = true, false
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 5 * time.Second}
	p.duties = &tomb.Tomb{}
	server, duties := p.server, p.duties
	duties.Go(func() error {
		_ = server.Serve(listener) // ends when the server is closed
		return nil
	})
	p.caller = callup.New(p.settings.balancer, p.settings.interval, p.Announcement)
	duties.Go(func() error {
		return p.caller.Run(duties.Context(context.Background()), func(ctx context.Context) error { return ctx.Err() })
	})
	return nil
}

// Stop ends the service at once and waits for its goroutines.
func (p *Plain) Stop() {
	p.mu.Lock()
	if !p.running {
		p.mu.Unlock()
		return
	}
	p.running = false
	server, duties := p.server, p.duties
	p.mu.Unlock()
	duties.Kill(nil)
	_ = server.Close()
	_ = duties.Wait()
}

// Leave announces that the service leaves; new requests are refused.
func (p *Plain) Leave() {
	p.mu.Lock()
	p.leaving = true
	caller := p.caller
	p.mu.Unlock()
	if caller != nil {
		caller.Now()
	}
}

// Fail makes the next count requests suffer f.
func (p *Plain) Fail(f Fault, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faults = f, count
}

// Hold makes each run take d.
func (p *Plain) Hold(d sardine.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = d
}

// Runs returns how often a request with this body was run.
func (p *Plain) Runs(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

// Address returns host:port of the HTTP server since the last start.
func (p *Plain) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// VM returns the VM's name.
func (p *Plain) VM() sardine.VMID {
	return p.settings.vm
}

// Announcement returns what the service says about itself now.
func (p *Plain) Announcement() sardine.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sardine.Announcement{
		VM:          p.settings.vm,
		Incarnation: p.settings.incarnation,
		Kind:        sardine.KindPlain,
		Address:     p.address,
		DataCentre:  p.settings.dataCentre,
		Service:     p.settings.service,
		Leaving:     p.leaving,
		Load:        sardine.Load{Running: p.active},
	}
}

// Expect returns the answer to a request.
func Expect(method, path, body string) string {
	return fmt.Sprintf("%s %s ran %q\n", method, path, body)
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	fault, hold, taken := p.begin(w)
	if !taken {
		http.Error(w, "the service is leaving", http.StatusServiceUnavailable)
		return
	}
	defer p.end()
	if fault == FaultBefore {
		panic(http.ErrAbortHandler)
	}
	p.run(r.Context(), string(body), hold)
	if strings.Contains(string(body), PoisonMarker) {
		p.crash()
	}
	if fault == FaultAfter {
		panic(http.ErrAbortHandler)
	}
	answer := Expect(r.Method, r.URL.Path, string(body))
	w.Header().Set(reply.HeaderRequest, r.Header.Get(reply.HeaderRequest))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if fault == FaultHalf {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// begin admits a request and uses up one fault.
func (p *Plain) begin(w http.ResponseWriter) (Fault, sardine.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set(annc.HeaderLoad, annc.FormatLoad(sardine.Load{Running: p.active}))
	if !p.running || p.leaving {
		w.Header().Set(reply.HeaderRan, sardine.RanNo.String())
		return FaultNone, 0, false
	}
	p.active++
	if p.faults <= 0 {
		return FaultNone, p.hold, true
	}
	p.faults--
	return p.fault, p.hold, true
}

// crash ends the service as its process's end would: its sockets close before
// anything is answered.
func (p *Plain) crash() {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	_ = server.Close()
	go p.Stop() // waits for the handlers
	panic(http.ErrAbortHandler)
}

// run counts the run, whether or not the caller waits for its end.
func (p *Plain) run(ctx context.Context, body string, hold sardine.Millis) {
	p.mu.Lock()
	p.runs[body]++
	p.mu.Unlock()
	if hold <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(hold.Duration()):
	}
}

func (p *Plain) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
}
