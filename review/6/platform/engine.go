package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of the engines, as the config states them.
const (
	firstLoadTime = 1600 * time.Millisecond // a tenth of loadS, before the first request
	warmTime      = 1600 * time.Millisecond // from the host
	rejoinTime    = 200 * time.Millisecond  // of the model of the last group
	formTime      = 300 * time.Millisecond
	stallTime     = 5 * time.Second
	eventInterval = 40 * time.Millisecond
	streamEvents  = 10
)

// States of a member of a group.
const (
	joining = "joining"
	ready   = "ready"
	open    = "open"
	broken  = "broken"
)

// membership is an engine's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// fabric joins the engines of one domain.
type fabric struct {
	mu  sync.Mutex
	all map[string]*engine
}

// whole reports whether every member still has its place in the group.
func (f *fabric) whole(m membership) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range m.members {
		e := f.all[id]
		if e == nil || !e.holds(m) {
			return false
		}
	}
	return true
}

// engine is a model worker: it carries out orders and answers streams as the head of an
// open group.
type engine struct {
	site   *site
	fabric *fabric
	id     string
	number int
	born   int64
	server *http.Server
	pings  chan struct{} // a change is to be reported at once
	ended  chan struct{}

	mu        sync.Mutex
	group     *membership
	highest   uint64 // epoch
	lastModel string // of its last group
	staged    []string
	stuckAt   time.Time // since when its group stands still
	next      string
	sequence  uint64
}

// startEngine starts a life of an engine.
func startEngine(s *site, f *fabric, number int, staged []string) (*engine, error) {
	e := &engine{
		site: s, fabric: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), number: number, born: time.Now().UnixMilli(),
		staged: staged, pings: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	l, err := net.Listen("tcp", e.address())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(pathOrder, e.handleOrder)
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: workerIdle}
	f.mu.Lock()
	f.all[e.id] = e
	f.mu.Unlock()
	s.record.add("engine %s starts at %s", e.id, e.address())
	go func() { _ = e.server.Serve(l) }()
	go e.ping()
	return e, nil
}

func (e *engine) address() string {
	return e.site.address(e.site.ip(30+e.number), frontPort)
}

// crash ends the engine's process.
func (e *engine) crash() {
	e.fabric.mu.Lock()
	delete(e.fabric.all, e.id)
	e.fabric.mu.Unlock()
	close(e.ended)
	_ = e.server.Close()
	e.site.record.say("engine %s crashes", e.id)
}

func (e *engine) holds(m membership) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group != nil && e.group.Name == m.Name && e.group.Epoch == m.Epoch
}

// membership returns the engine's place in its group.
func (e *engine) membership() (m membership, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil {
		return m, false
	}
	return *e.group, true
}

// ping reports the engine to control nodes, and each change at once.
func (e *engine) ping() {
	client := &http.Client{Timeout: callTimeout}
	for {
		e.pingOnce(client)
		select {
		case <-e.ended:
			return
		case <-e.pings:
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *engine) changed() {
	select {
	case e.pings <- struct{}{}:
	default:
	}
}

// report returns the body of the next ping.
func (e *engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	body := map[string]any{
		"service": engineService, "address": e.address(), "zone": "tas-hobart", "version": "v1", "slots": 26, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": []any{}, "sequence": e.sequence, "born": e.born, "domain": domain,
		"staged": slices.Clone(e.staged),
	}
	if e.lastModel != "" {
		body["models"] = []any{map[string]any{"name": e.lastModel, "version": 1, "adapters": []any{}}}
	}
	if e.group != nil {
		body["group"] = *e.group
	}
	return body
}

func (e *engine) pingOnce(client *http.Client) {
	body, _ := json.Marshal(e.report())
	for range pingTries {
		if e.next == "" {
			e.next = e.site.address(e.site.anyControl().ip, controlPort)
		}
		resp, err := client.Post("http://"+e.next+pathInstances+e.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			var reply struct {
				Address string `json:"heartbeatAddr"`
			}
			_ = json.NewDecoder(io.LimitReader(resp.Body, 4<<10)).Decode(&reply)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				if reply.Address != "" {
					e.next = reply.Address
				}
				return
			}
		}
		e.next = ""
	}
}

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 64<<10)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.carryOut(o)
	e.site.record.add("engine %s: order %s of group %s epoch %d: %d", e.id, o.Operation, o.Group, o.Epoch, status)
	w.WriteHeader(status)
}

// carryOut begins an order and returns the status for it.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed()
	holds := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Operation {
	case "join":
		return e.join(o, holds)
	case "open":
		return e.open(holds)
	case "close":
		if holds && e.group.State == open {
			e.group.State = ready
		}
		return http.StatusOK
	case "leave":
		if holds {
			e.group, e.stuckAt = nil, time.Time{}
		}
		return http.StatusOK
	case "stage":
		if slices.Contains(e.staged, o.Model) {
			return http.StatusOK
		}
		time.AfterFunc(firstLoadTime, func() { e.stage(o.Model) })
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// join makes the engine a member of a group. The caller holds the lock.
func (e *engine) join(o order, holds bool) int {
	if o.Epoch < e.highest || holds && !slices.Equal(e.group.members, o.Members) {
		return http.StatusPreconditionFailed
	}
	if holds {
		return http.StatusOK
	}
	e.highest = o.Epoch
	m := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: joining, members: o.Members}
	e.group, e.stuckAt = m, time.Time{}
	after := firstLoadTime
	switch {
	case e.lastModel == o.Model:
		after = rejoinTime
	case slices.Contains(e.staged, o.Model):
		after = warmTime
	}
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		defer e.changed()
		e.lastModel = o.Model
		if !slices.Contains(e.staged, o.Model) {
			e.staged = []string{o.Model}
		}
		if e.group == m {
			m.State = ready
		}
	})
	return http.StatusAccepted
}

// open makes a head serve. The caller holds the lock.
func (e *engine) open(holds bool) int {
	switch {
	case !holds || e.group.Rank != 0 || e.group.State != ready && e.group.State != open:
		return http.StatusConflict
	case e.group.State == open:
		return http.StatusOK
	}
	m := e.group
	time.AfterFunc(formTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		defer e.changed()
		if e.group == m && m.State == ready {
			m.State = open
		}
	})
	return http.StatusAccepted
}

func (e *engine) stage(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed()
	e.staged = []string{name} // a host keeps one
}

// stalled reports whether the engine's group has stood still for so long that it is
// broken.
func (e *engine) stalled(m membership) bool {
	whole := e.fabric.whole(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case whole:
		e.stuckAt = time.Time{}
		return false
	case e.stuckAt.IsZero():
		e.stuckAt = time.Now()
	}
	if time.Since(e.stuckAt) < stallTime {
		return false
	}
	if e.group != nil && e.group.Name == m.Name && e.group.Epoch == m.Epoch && e.group.State != broken {
		e.group.State = broken
		e.changed()
	}
	return true
}

// handleRequest answers a stream.
func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerStamp, stampOf(e.id, id))
	m, member := e.membership()
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id || !member || m.Rank != 0 {
		e.turnAway(w, http.StatusMisdirectedRequest)
		return
	}
	if m.State != open {
		e.turnAway(w, http.StatusServiceUnavailable)
		return
	}
	for !e.fabric.whole(m) {
		if e.stalled(m) {
			e.turnAway(w, http.StatusServiceUnavailable)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
	e.site.record.add("engine %s runs request %s in group %s epoch %d", e.id, id, m.Name, m.Epoch)
	e.stream(w, r, m)
}

func (e *engine) turnAway(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// stream writes the events. They pause while the group stands still, and end without an
// end if it is broken.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, m membership) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	for i := first + 1; i <= streamEvents; i++ {
		for !e.fabric.whole(m) {
			if e.stalled(m) {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(eventInterval)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, r.Header.Get(headerRequest))
		if control.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
