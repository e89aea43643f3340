package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	engines           = 7
	malformedWarmup   = 4 * time.Second
	malformedPause    = 2 * time.Second
	crashTime         = 4500 * time.Millisecond
	malformedRest     = 45 * time.Second
	streamCallers     = 4
	plainCallers      = 4
	starvedShare      = 0.25
	callInterval      = 400 * time.Millisecond
	engineBootTimeout = 25 * time.Second
)

// playMalformed runs the case: a ping without one field comes from another writer under
// the id of a model worker, and another worker of its group crashes some seconds later.
// It reports whether the streams are starved.
func playMalformed(s *site, trouble bool) (broken bool, err error) {
	f := &fabric{all: map[string]*engine{}}
	var all []*engine
	for i := range engines {
		e, err := startEngine(s, f, i, nil)
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	for i := range 2 {
		if _, err := startWorker(s, i+1); err != nil {
			return false, err
		}
	}
	if err := s.boot(engineConfig()); err != nil {
		return false, err
	}
	head, err := awaitHead(all)
	if err != nil {
		return false, err
	}
	streams := startPacedCallers(s, streamCallers, http.MethodPost, "/chat/")
	plain := startPacedCallers(s, plainCallers, http.MethodGet, "/read/")
	time.Sleep(malformedWarmup)
	m, _ := head.membership()
	if trouble && os.Getenv("TROUBLE") != "crash" {
		if err := postMalformed(s, f.all[m.members[1]]); err != nil {
			return false, err
		}
	}
	time.Sleep(malformedPause)
	if trouble {
		lost := f.all[m.members[2]]
		lost.crash()
		time.Sleep(crashTime)
		if _, err := startEngine(s, f, lost.number, lost.staged); err != nil {
			return false, err
		}
	}
	time.Sleep(malformedRest)
	return judgeStarved(s, streams.end(), plain.end()), nil
}

// awaitHead returns the head of the first group that is open.
func awaitHead(all []*engine) (*engine, error) {
	for end := time.Now().Add(engineBootTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, e := range all {
			if m, member := e.membership(); member && m.State == open {
				return e, nil
			}
		}
	}
	return nil, fmt.Errorf("no group is open")
}

// postMalformed posts a ping of another writer: that of an engine, but without its domain.
func postMalformed(s *site, e *engine) error {
	body := e.report()
	delete(body, "domain")
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	s.record.say("another writer posts a ping of engine %s without the field domain: %s", e.id, text)
	for _, c := range s.controls() {
		resp, err := http.Post("http://"+s.address(c.ip, controlPort)+pathInstances+e.id+"/heartbeat", "application/json", bytes.NewReader(text))
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		s.record.say("%s answers it with %d", c.name, resp.StatusCode)
	}
	return nil
}

// judgeStarved reports whether streams are served less than a quarter as often as all
// requests.
func judgeStarved(s *site, streams, plain []outcome) bool {
	count := func(all []outcome) (served int) {
		for _, o := range all {
			if o.status == http.StatusOK && o.wrong == "" {
				served++
			}
		}
		return served
	}
	streamShare := float64(count(streams)) / float64(len(streams))
	allShare := float64(count(streams)+count(plain)) / float64(len(streams)+len(plain))
	s.record.say("streams: %d of %d served; other requests: %d of %d; share of the streams %.3f, of all %.3f",
		count(streams), len(streams), count(plain), len(plain), streamShare, allShare)
	return streamShare < starvedShare*allShare
}

// engineConfig returns the small config with a model service and its route.
func engineConfig() map[string]any {
	config := smallConfig()
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "r-chat", "host": host, "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 8000, "sloMs": 300, "priority": 1,
		"service": engineService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 300,
	})
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": engineService, "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 26, "kvCapacity": 1590000, "tokenKvBytes": 327680, "linkMbps": 400000.0, "stride": 7,
			"models":  []any{map[string]any{"name": model, "size": modelSize, "share": 1.0, "pace": 1.0, "loadS": 16.0, "warmS": 1.6}},
			"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
			"report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178},
			"keeps": 1, "far_x": 3.0, "formMs": 300.0,
		},
	})
	return config
}
