package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderRequest   = "X-Sardineswitch-Request-Id"
	HeaderDeadline  = "X-Sardineswitch-Request-Deadline"
	HeaderInstance  = "X-Sardineswitch-Expect-Instance"
	HeaderStamp     = "X-Sardineswitch-Response-Stamp"
	HeaderModel     = "X-Sardineswitch-Model"
	HeaderTokens    = "X-Sardineswitch-Token-Counts"
	HeaderLastEvent = "Last-Event-Id"
)

// Worker is a stand-in of a worker. Answer handles the requests that it runs.
type Worker struct {
	ID      string
	Address string
	Answer  func(w http.ResponseWriter, r *http.Request)
	Beat    func(beat map[string]any)      // adds to a heartbeat, nil for nothing
	Order   func(order map[string]any) int // status of an order's answer, 0 to leave it unanswered; nil refuses all

	site    *Site
	service string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	left     bool
}

// NewWorker starts a worker at a loopback address of its own, and its heartbeats.
func (s *Site) NewWorker(service string, last int, answer func(w http.ResponseWriter, r *http.Request)) (*Worker, error) {
	l, err := net.Listen("tcp", s.IP(last)+":8080")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Address: l.Addr().String(), Answer: answer,
		site: s, service: service, born: time.Now().UnixMilli(),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }() // until Close
	return w, nil
}

// Announce sends heartbeats until the site stops or Close.
func (w *Worker) Announce() {
	w.site.Go(func() {
		for {
			w.beat()
			if w.hasLeft() || w.site.Pause(HeartbeatInterval) {
				return
			}
		}
	})
}

// Changed announces a change at once.
func (w *Worker) Changed() {
	go w.beat()
}

// NextBeat returns the next heartbeat.
func (w *Worker) NextBeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	beat := map[string]any{
		"service": w.service, "address": w.Address, "zone": Zone, "version": "v1", "slots": 26, "state": "ready",
		"coldLeftMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.Beat != nil {
		w.Beat(beat)
	}
	return beat
}

func (w *Worker) beat() {
	if !w.hasLeft() {
		_ = w.site.Call("/api/instances/"+w.ID+"/heartbeat", w.NextBeat(), 1) // the next one repeats it
	}
}

func (w *Worker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// Close ends the worker: its listener and its connections.
func (w *Worker) Close() {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	_ = w.server.Close() // the worker ends
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		out.Header().Set("X-Sardineswitch-Instance-Id", w.ID)
		return
	case r.URL.Path == "/api/order":
		w.takeOrder(out, r)
		return
	}
	out.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if expected := r.Header.Get(HeaderInstance); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Answer(out, r)
}

func (w *Worker) takeOrder(out http.ResponseWriter, r *http.Request) {
	var order map[string]any
	text, _ := io.ReadAll(r.Body) // what can't be read is no order
	if json.Unmarshal(text, &order) != nil || w.Order == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(HeaderInstance); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if status := w.Order(order); status != 0 {
		out.WriteHeader(status)
		return
	}
	<-r.Context().Done() // left unanswered
}

// Stamp sets the proof of an answer.
func (w *Worker) Stamp(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(HeaderStamp, strings.Join([]string{w.ID, r.Header.Get(HeaderRequest)}, "."))
}
