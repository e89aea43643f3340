// Package plain is a stand-in for a plain service. It counts how often each
// request body ran, so that tests can detect a double run.
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

const maxBody = 4 << 20 // bytes

// PoisonMarker in a request body crashes the service that runs the request.
const PoisonMarker = "[[poison]]"

// Fault is a fault that affects the next requests.
type Fault uint8

// The faults.
const (
	FaultNone         Fault = iota
	FaultBeforeRun          // the connection breaks before the request runs
	FaultAfterRun           // the request runs, then the connection breaks
	FaultHalfAnswer         // the request runs, and the connection breaks after half of the answer
	FaultNoLength           // the answer has neither a length nor chunks and ends with its connection
	FaultNoLengthExit       // the same, and the service exits after half of the answer
)

// Service is one plain service VM. Start and Stop may alternate; each start is a
// new incarnation.
type Service struct {
	settings settings

	mu         sync.Mutex
	tasks      *tomb.Tomb
	server     *http.Server
	announcer  *callup.Announcer
	address    string
	running    bool
	leaving    bool
	active     int            // requests in progress
	runs       map[string]int // by request body
	fault      Fault
	faultCount int            // requests that the fault still affects
	runTime    sardine.Millis // time of each run
}

// New returns a service that is not started.
func New(options ...Option) *Service {
	s := defaults()
	for _, o := range options {
		o(&s)
	}
	return &Service{settings: s, runs: map[string]int{}}
}

// Start starts the server and the announcements. The counts of runs are kept
// from earlier starts.
func (p *Service) Start() error {
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
	p.tasks = &tomb.Tomb{}
	server, tasks := p.server, p.tasks
	tasks.Go(func() error {
		_ = server.Serve(listener) // ends when the server is closed
		return nil
	})
	p.announcer = callup.New(p.settings.balancer, p.settings.interval, p.Announcement)
	tasks.Go(func() error {
		return p.announcer.Run(tasks.Context(context.Background()), func(ctx context.Context) error { return ctx.Err() })
	})
	return nil
}

// Stop stops the service immediately and waits for its goroutines.
func (p *Service) Stop() {
	p.mu.Lock()
	if !p.running {
		p.mu.Unlock()
		return
	}
	p.running = false
	server, tasks := p.server, p.tasks
	p.mu.Unlock()
	tasks.Kill(nil)
	_ = server.Close()
	_ = tasks.Wait()
}

// Leave announces that the service leaves. It rejects new requests from then
// on.
func (p *Service) Leave() {
	p.mu.Lock()
	p.leaving = true
	announcer := p.announcer
	p.mu.Unlock()
	if announcer != nil {
		announcer.AnnounceNow()
	}
}

// InjectFault injects the fault f into the next count requests.
func (p *Service) InjectFault(f Fault, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faultCount = f, count
}

// SetRunTime sets the time that each run takes.
func (p *Service) SetRunTime(d sardine.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runTime = d
}

// Runs returns how often a request with this body ran.
func (p *Service) Runs(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

// Address returns the address of the HTTP server since the last start,
// host:port.
func (p *Service) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// VM returns the VM's name.
func (p *Service) VM() sardine.VMID {
	return p.settings.vm
}

// Announcement returns the service's current announcement.
func (p *Service) Announcement() sardine.Announcement {
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

// Expect returns the correct answer to a request.
func Expect(method, path, body string) string {
	return fmt.Sprintf("%s %s ran %q\n", method, path, body)
}

func (p *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	fault, runTime, admitted := p.admit(w)
	if !admitted {
		http.Error(w, "the service is leaving", http.StatusServiceUnavailable)
		return
	}
	defer p.finish()
	if fault == FaultBeforeRun {
		panic(http.ErrAbortHandler)
	}
	p.run(r.Context(), string(body), runTime)
	if strings.Contains(string(body), PoisonMarker) {
		p.crash()
	}
	if fault == FaultAfterRun {
		panic(http.ErrAbortHandler)
	}
	answer := Expect(r.Method, r.URL.Path, string(body))
	w.Header().Set(reply.HeaderRequest, r.Header.Get(reply.HeaderRequest))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if fault == FaultNoLength || fault == FaultNoLengthExit {
		p.answerUndelimited(w, answer, fault)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if fault == FaultHalfAnswer {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// answerUndelimited sends an answer that ends with its connection.
func (p *Service) answerUndelimited(w http.ResponseWriter, answer string, fault Fault) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if fault == FaultNoLengthExit {
		answer = answer[:len(answer)/2]
		p.mu.Lock()
		defer p.server.Close()
		p.mu.Unlock()
		defer func() { go p.Stop() }() // waits for the handlers
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n" + answer)
	_ = buffered.Flush()
}

// admit admits a request unless the service leaves, and returns the fault that
// affects it and the time of its run.
func (p *Service) admit(w http.ResponseWriter) (Fault, sardine.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set(annc.HeaderLoad, annc.FormatLoad(sardine.Load{Running: p.active}))
	if !p.running || p.leaving {
		w.Header().Set(reply.HeaderRan, sardine.RanNo.String())
		return FaultNone, 0, false
	}
	p.active++
	if p.faultCount <= 0 {
		return FaultNone, p.runTime, true
	}
	p.faultCount--
	return p.fault, p.runTime, true
}

// crash stops the service as the exit of its process would: its sockets are
// closed before anything is answered.
func (p *Service) crash() {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	_ = server.Close()
	go p.Stop() // waits for the handlers
	panic(http.ErrAbortHandler)
}

// run counts the run and waits for its time, or until ctx ends. The run counts
// even if the caller disconnects.
func (p *Service) run(ctx context.Context, body string, runTime sardine.Millis) {
	p.mu.Lock()
	p.runs[body]++
	p.mu.Unlock()
	if runTime <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(runTime.Duration()):
	}
}

func (p *Service) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
}
