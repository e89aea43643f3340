package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadBytes    = 4 << 20       // maxBodyBytes of the config
	uploadPiece    = 32 << 10      // that a requester writes at once
	linkBits       = 1_000_000_000 // a second, of a machine's own link
	uploaders      = 26
	others         = 8 // requesters without a body
	burstUploaders = 18
	burstOthers    = 6
	uploadsWarmup  = 5 * time.Second
	burstTime      = 3 * time.Second
	burstInterval  = 7 * time.Second
	bursts         = 9
)

// playUploads runs the case: the requesters of a zone with one entry node send bodies of
// the largest size that the config allows, and many more of them come at once.
func playUploads(s *site, trouble bool) (broken bool, err error) {
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(s, i+1)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := s.boot(smallConfig()); err != nil {
		return false, err
	}
	l := &link{}
	all := []*callers{startUploaders(s, l, uploaders), startOthers(s, others)}
	time.Sleep(uploadsWarmup)
	s.record.say("%s has used at most %d MB so far", s.entries()[0].name, s.entries()[0].memoryUsed())
	for range bursts {
		var more []*callers
		if trouble {
			s.record.say("many requesters come at once")
			more = []*callers{startUploaders(s, l, burstUploaders), startOthers(s, burstOthers)}
		}
		time.Sleep(burstTime)
		for _, c := range more {
			c.stop.Store(true)
		}
		all = append(all, more...)
		time.Sleep(burstInterval - burstTime)
	}
	s.record.say("the trouble is over")
	var ends []outcome
	for _, c := range all {
		ends = append(ends, c.end()...)
	}
	return judgeLost(s, ends, workers), nil
}

func startUploaders(s *site, l *link, count int) *callers {
	return startWith(&callers{site: s, method: http.MethodPost, path: "/book/", pause: thinkTime, at: s.entries()[0], link: l}, count)
}

func startOthers(s *site, count int) *callers {
	return startWith(&callers{site: s, method: http.MethodGet, path: "/read/", pause: thinkTime, at: s.entries()[0]}, count)
}

// link is the link of an entry node's machine. Bodies share its bandwidth.
type link struct {
	mu   sync.Mutex
	free time.Time // when it has carried what was sent
}

// uploadBody is the body of all requests that have one.
var uploadBody = make([]byte, uploadBytes)

func (l *link) bodyBytes() int {
	if l == nil {
		return 0
	}
	return uploadBytes
}

// send sends a body, no faster than the link carries it beside the others.
func (l *link) send(c net.Conn) error {
	if l == nil {
		return nil
	}
	for sent := 0; sent < uploadBytes; sent += uploadPiece {
		time.Sleep(time.Until(l.turn()))
		if _, err := c.Write(uploadBody[sent : sent+uploadPiece]); err != nil {
			return err
		}
	}
	return nil
}

// turn returns when the next piece may be sent.
func (l *link) turn() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(uploadPiece * 8 * time.Second / linkBits)
	return l.free
}
