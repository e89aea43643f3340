package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker without groups. It announces itself, and answers
// requests with handle.
type worker struct {
	rig     *rig
	id      string
	service string
	born    int64
	server  *http.Server
	address string
	done    chan struct{}
	once    sync.Once
	handle  func(w http.ResponseWriter, r *http.Request, run *run)

	mu       sync.Mutex
	via      []string // addresses of its paths to the control nodes, none for the nodes' own
	silent   bool     // sends no more heartbeats
	sequence int
	runs     []*run
}

// run is one request that a worker has begun to work on.
type run struct {
	worker   string
	request  string
	path     string
	number   int // of the worker's runs
	ended    bool
	canceled bool // its connection was closed before it ended
	broken   bool // the worker broke its answer off
}

// addWorker starts a worker of a service.
func (r *rig) addWorker(id, service string, handle func(http.ResponseWriter, *http.Request, *run)) (*worker, error) {
	l, err := net.Listen("tcp", r.ip(100+len(r.workers))+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{rig: r, id: id, service: service, born: time.Now().UnixMilli(), address: l.Addr().String(), done: make(chan struct{}), handle: handle}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 5 * time.Second}
	r.workers = append(r.workers, w)
	go func() { _ = w.server.Serve(l) }() // ends with stop
	go w.announce()
	return w, nil
}

func (w *worker) stop() {
	w.once.Do(func() {
		close(w.done)
		_ = w.server.Close() // the case is over
	})
}

// announce sends a heartbeat every beatInterval.
func (w *worker) announce() {
	for {
		w.mu.Lock()
		if w.silent {
			w.mu.Unlock()
			return
		}
		w.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"recife","version":"v1","slots":26,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d}`,
			w.service, w.address, w.sequence, w.born)
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_ = w.rig.postTo(ctx, w.addresses(), "/api/instances/"+w.id+"/heartbeat", body) // the next one repeats it
		cancel()
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

// setVia sets the addresses of the worker's paths to the control nodes.
func (w *worker) setVia(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.via = addresses
}

// addresses returns the addresses at which the worker calls the control nodes.
func (w *worker) addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.via) == 0 {
		return w.rig.controlAddresses()
	}
	return w.via
}

// silence stops the heartbeats.
func (w *worker) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

// serve answers one request as the platform's pages say, and hands it to the case.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sardineswitch-Request-Id")
	out.Header().Set("X-Sardineswitch-Request-Id", id)
	if expected := r.Header.Get("X-Sardineswitch-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	one := &run{worker: w.id, request: id, path: r.URL.Path, number: len(w.runs) + 1}
	w.runs = append(w.runs, one)
	w.mu.Unlock()
	out.Header().Set("X-Sardineswitch-Response-Stamp", w.id+"."+id)
	w.handle(out, r, one)
	w.mu.Lock()
	defer w.mu.Unlock()
	one.ended = r.Context().Err() == nil
	one.canceled = !one.ended
}

// runsOf returns the runs of a request at all workers.
func (r *rig) runsOf(id string) []run {
	var all []run
	for _, w := range r.workers {
		w.mu.Lock()
		for _, one := range w.runs {
			if one.request == id {
				all = append(all, *one)
			}
		}
		w.mu.Unlock()
	}
	return all
}

// describe lists the runs of a request for the record.
func describe(all []run) string {
	var parts []string
	for _, one := range all {
		state := "still running"
		switch {
		case one.broken:
			state = "broke its answer off"
		case one.ended:
			state = "ended"
		case one.canceled:
			state = "its connection was closed while it ran"
		}
		parts = append(parts, one.worker+": "+state)
	}
	if len(parts) == 0 {
		return "no run"
	}
	return strings.Join(parts, "; ")
}
