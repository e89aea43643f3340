package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	replacedWarmup   = 8 * time.Second // until all five core machines vote
	replacements     = 5
	successorDelay   = time.Second
	replacedInterval = 8 * time.Second         // between two machines that go
	killInterval     = 1800 * time.Millisecond // between two kills of all processes of the core
	readBackAfter    = 20 * time.Second        // after the last disruption; recoveryS of the deployment is 12
	readBackTime     = 6 * time.Second         // twice stableWindowMs
)

// playReplaced runs the case: core machines go one after the other and are replaced, and
// meanwhile all processes of the core are killed now and then. It reports whether the
// config can't be read back.
func playReplaced(s *site, trouble bool) (broken bool, err error) {
	if _, err := startWorker(s, 1); err != nil {
		return false, err
	}
	if err := s.boot(smallConfig()); err != nil {
		return false, err
	}
	time.Sleep(replacedWarmup)
	if err := s.put(smallConfig()); err != nil {
		return false, err
	}
	s.record.say("config %d is acknowledged", s.version)
	if trouble {
		s.disturb(os.Getenv("TROUBLE"))
	}
	s.record.say("the trouble is over, all machines run")
	time.Sleep(readBackAfter)
	return !s.readBack(), nil
}

// disturb replaces the core machines and kills all processes of the core meanwhile, or does
// one of both.
func (s *site) disturb(what string) {
	done := make(chan struct{})
	if what != "replace" {
		go s.killAgain(done)
	}
	for i := range replacements {
		if what == "kill" {
			time.Sleep(replacedInterval)
			continue
		}
		s.replace(len(s.controls()) - 1 - i)
		time.Sleep(replacedInterval - successorDelay)
	}
	close(done)
}

// killAgain kills all processes of the core at one moment, again and again.
func (s *site) killAgain(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(killInterval):
		}
		s.record.say("all processes of the core are killed")
		for _, n := range s.controls() {
			n.kill()
		}
	}
}

// replace ends a core machine for good. An empty one comes a second later at another
// address.
func (s *site) replace(i int) {
	old := s.controls()[i]
	s.record.say("%s is gone for good", old.name)
	old.end()
	time.Sleep(successorDelay)
	next := s.newControl()
	next.founded = true // found is set at the first start of the whole site only
	s.mu.Lock()
	s.core[i] = next
	s.mu.Unlock()
	if err := next.start(); err != nil {
		s.record.say("%s can't be started: %v", next.name, err)
		return
	}
	s.record.say("%s takes its place, with an empty disk", next.name)
}

// readBack reports whether a core machine returns the config that was acknowledged.
func (s *site) readBack() bool {
	client := &http.Client{Timeout: callTimeout}
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c := s.anyControl()
		resp, err := client.Get("http://" + s.address(c.ip, controlPort) + pathGet)
		if err != nil {
			s.record.say("%s: read of the config: %v", c.name, err)
			continue
		}
		var config struct {
			Version int `json:"version"`
		}
		err = json.NewDecoder(resp.Body).Decode(&config)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.record.add("%s: read of the config: status %d, version %d", c.name, resp.StatusCode, config.Version)
		if resp.StatusCode == http.StatusOK && err == nil {
			s.record.say("%s returns config %d", c.name, config.Version)
			return config.Version >= s.version
		}
	}
	s.record.say("for %v no core machine returns the config", readBackTime)
	return false
}
