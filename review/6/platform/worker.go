package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots       = 16
	workerIdle        = 20 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	pingTries         = 3
	answerBytes       = 800
)

// worker is a plain worker: it runs a few requests at a time and turns away those that
// find no place.
type worker struct {
	site    *site
	id      string
	ip      string
	address string
	born    int64
	slots   chan struct{}
	// after is called with each answer that was written to a connection that stays
	// open. It reports whether the worker goes on with the connection.
	after func(c net.Conn, r *bufio.Reader, answer []byte) bool

	cut     atomic.Bool // its pings reach no control node
	leaving atomic.Bool // it says so in its pings and answers
	exited  atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	ran      map[string]int       // by request id
	began    map[string]time.Time // by request id
	next     string               // control node for the next ping
	sent     uint64               // pings
}

func startWorker(s *site, index int) (*worker, error) {
	w := &worker{
		site: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: s.ip(20 + index), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, workerSlots), ran: map[string]int{}, began: map[string]time.Time{}, conns: map[net.Conn]bool{},
	}
	w.address = s.address(w.ip, frontPort)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.listener = l
	s.record.add("worker %s listens at %s", w.id, w.address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	go w.ping()
	return w, nil
}

// exit ends the worker's process.
func (w *worker) exit() {
	w.exited.Store(true)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.site.record.say("worker %s exits", w.id)
}

// ping reports the worker to control nodes.
func (w *worker) ping() {
	client := &http.Client{Timeout: callTimeout}
	for !w.exited.Load() {
		if !w.cut.Load() {
			w.pingOnce(client)
		}
		time.Sleep(heartbeatInterval)
	}
}

// state returns what the worker says of itself.
func (w *worker) state() string {
	if w.leaving.Load() {
		return "draining"
	}
	return "ready"
}

func (w *worker) pingOnce(client *http.Client) {
	for range pingTries {
		if w.next == "" {
			w.next = w.site.address(w.site.anyControl().ip, controlPort)
		}
		w.sent++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": "tas-hobart", "version": "v1", "slots": workerSlots,
			"state": w.state(), "coldLeftMs": 0, "sequence": w.sent, "born": w.born,
		})
		resp, err := client.Post("http://"+w.next+pathInstances+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			var reply struct {
				Address string `json:"heartbeatAddr"`
			}
			_ = json.NewDecoder(io.LimitReader(resp.Body, 4<<10)).Decode(&reply)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				if reply.Address != "" {
					w.next = reply.Address
				}
				return
			}
		}
		w.next = ""
	}
}

// serve answers the requests of one connection.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	r := bufio.NewReader(c)
	for !w.exited.Load() {
		_ = c.SetReadDeadline(time.Now().Add(workerIdle))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		answer := w.answer(q)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if w.after != nil && !w.after(c, r, answer) {
			return
		}
	}
}

// answer runs a request and returns the bytes of the answer.
func (w *worker) answer(q *http.Request) []byte {
	id := q.Header.Get(headerRequest)
	if expected := q.Header.Get(headerExpect); expected != "" && expected != w.id {
		return w.refusal(id, http.StatusMisdirectedRequest)
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		return w.refusal(id, http.StatusServiceUnavailable)
	}
	w.mu.Lock()
	w.ran[id]++
	w.began[id] = time.Now()
	w.mu.Unlock()
	w.site.record.add("worker %s runs request %s (%s %s)", w.id, id, q.Method, q.URL.Path)
	time.Sleep(workTime())
	body := strings.Repeat(id+" ", answerBytes/(len(id)+1)+1)[:answerBytes-rand.IntN(100)]
	leaving := ""
	if w.leaving.Load() {
		leaving = headerLeaving + ": 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
		headerRequest, id, headerInstance, w.id, headerStamp, stampOf(w.id, id), leaving, int(workerIdle.Seconds()), len(body), body)
}

// workTime returns how long a request is at work: 60 ms on average.
func workTime() time.Duration {
	return time.Duration(40+rand.IntN(40)) * time.Millisecond
}

func stampOf(worker, id string) string {
	return worker + "." + id
}

func (w *worker) refusal(id string, status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		strconv.Itoa(status)+" "+http.StatusText(status), headerRequest, id, headerStamp, stampOf(w.id, id), headerNotExecuted)
}

// runs returns how often the worker has run a request.
func (w *worker) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}
