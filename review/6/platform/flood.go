package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	floodWarmup   = 4 * time.Second
	floodTime     = 5 * time.Second // of trouble
	floodAfter    = 3 * time.Second
	floodShare    = 0.05    // of the worker's answers
	floodMost     = 400_000 // KB that one connection gets: "without end" is bounded here
	floodOpen     = 3       // connections that are flooded at a time
	maxUnanswered = 3       // of the rule
	eachEntry     = 12      // requesters
)

// playFlood runs the case: one of three workers sends a second copy of some of its
// answers, and after it bytes without end in place of the next head. It returns the
// number of requests for each entry node that were lost at sound workers.
func playFlood(s *site, trouble bool) (broken bool, err error) {
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(s, i+1)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	var active atomic.Bool
	f := &flood{record: s.record, active: &active}
	workers[0].after = f.after
	if err := s.boot(smallConfig()); err != nil {
		return false, err
	}
	all := startCallers(s, eachEntry, http.MethodGet, "/read/")
	time.Sleep(floodWarmup)
	if trouble {
		s.record.say("worker %s is in trouble", workers[0].id)
		active.Store(true)
	}
	time.Sleep(floodTime)
	active.Store(false)
	s.record.say("the trouble is over")
	time.Sleep(floodAfter)
	return judgeLost(s, all.end(), workers[1:]), nil
}

// boot sends the first config and waits until both entry nodes serve.
func (s *site) boot(config map[string]any) error {
	if err := s.put(config); err != nil {
		return err
	}
	for _, n := range s.entries() {
		for end := time.Now().Add(bootTimeout); !s.ready(n) || !s.serves(n); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", n.name)
			}
		}
	}
	s.record.say("all entry nodes serve")
	return nil
}

// serves reports whether an entry node serves a request.
func (s *site) serves(n *node) bool {
	conn, err := net.DialTimeout("tcp", s.address(n.ip, frontPort), connectTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	c := &callers{site: s, method: http.MethodGet, path: "/read/"}
	o, _ := c.send(conn, bufio.NewReader(conn))
	return o.status == http.StatusOK
}

// judgeLost reports whether an entry node has closed kept connections without an answer
// to requests that it had passed on to sound workers, more often than the rule allows.
func judgeLost(s *site, ends []outcome, sound []*worker) bool {
	served, lost := 0, map[string]int{}
	for _, o := range ends {
		if o.status == http.StatusOK && o.wrong == "" {
			served++
		}
		if !o.kept || !o.closed {
			continue
		}
		for _, w := range sound {
			if w.runs(o.id) > 0 {
				s.record.say("LOST: request %s, from a kept connection, was passed to sound worker %s by %s, which closed the connection without an answer", o.id, w.id, o.entry)
				lost[o.entry]++
			}
		}
	}
	broken := false
	for _, n := range s.entries() {
		s.record.say("%s: killed %d times for its memory, at most %d MB used, %d requests lost at sound workers", n.name, n.overruns, n.memory, lost[n.name])
		broken = broken || lost[n.name] > maxUnanswered
	}
	s.record.say("%d requests, %d of them served", len(ends), served)
	return broken
}

// flood is a worker's trouble.
type flood struct {
	record *record
	active *atomic.Bool
	open   atomic.Int32
}

// after sends a second copy of an answer where the next one is due, and after it the
// beginning of a head that does not end.
func (f *flood) after(c net.Conn, r *bufio.Reader, answer []byte) bool {
	if !f.active.Load() || rand.Float64() >= floodShare {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(workerIdle))
	if _, err := r.Peek(1); err != nil { // the next request
		return false
	}
	if f.open.Add(1) > floodOpen {
		f.open.Add(-1)
		return true
	}
	defer f.open.Add(-1)
	f.record.add("the worker sends a second copy of an answer, and bytes without end")
	start := append(bytes.Clone(answer), "HTTP/1.1 200 OK\r\n"...)
	start = append(start, bytes.Repeat([]byte("a: b\r\n"), 700)...)
	_ = c.SetWriteDeadline(time.Now().Add(requestDeadline))
	_, err := c.Write(start)
	sent := 0
	for piece := bytes.Repeat([]byte("x"), 64<<10); err == nil && sent < floodMost<<10; {
		var n int
		n, err = c.Write(piece)
		sent += n
	}
	f.record.add("the connection has taken %d KB more", sent>>10)
	return false
}
