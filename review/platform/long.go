package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of long requests.
const (
	oldTimeout  = 8 * time.Second  // of the route at first
	newTimeout  = 20 * time.Second // after the change of the config
	longWork    = 12 * time.Second
	longCallers = 12
	mostLost    = 3 // closed connections that the rule allows
)

// playLong raises the time limit of a route, and then sends requests that need longer
// than ten seconds and less than the time limit.
func playLong(r *rig) (verdict, error) {
	if err := r.start(); err != nil {
		return unable, err
	}
	for i := range 3 {
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i+1), "loja-app", answerLong); err != nil {
			return unable, err
		}
	}
	if err := r.putLong(7, oldTimeout); err != nil {
		return unable, err
	}
	if err := r.awaitReady("/pufi791/quick"); err != nil {
		return unable, err
	}
	timeout := oldTimeout
	if r.trouble {
		timeout = newTimeout
		if err := r.putLong(9, newTimeout); err != nil {
			return unable, err
		}
	}
	time.Sleep(configApply + 3*time.Second) // the change is in force, and all machines are in touch
	answers := r.sendLong()
	time.Sleep(3 * time.Second) // for runs that go on
	lost := 0
	for _, a := range answers {
		runs := r.runsOf(a.id)
		without := a.kept && a.status == 0 && len(runs) > 0 && a.took < timeout
		if without {
			lost++
		}
		r.log("request %s, %s: kept connection %t, status %d, complete %t, after %.2f s, error %v; runs: %s; closed without an answer: %t",
			a.id, a.what, a.kept, a.status, a.complete, a.took.Seconds(), a.err, describe(runs), without)
	}
	r.log("%d of %d requests were passed on to a sound worker, and their kept connection was closed without an answer before the route's %v; allowed are %d",
		lost, len(answers), timeout, mostLost)
	if lost > mostLost {
		return broken, nil
	}
	return held, nil
}

// Routes of the case: reads, and orders that carry no body.
const (
	readPath  = "/pufi791/"
	orderPath = "/puxa403/"
)

// putLong stores the config with a time limit of both routes.
func (r *rig) putLong(version int, timeout time.Duration) error {
	const route = `{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"sloMs":100,"priority":1,"service":"loja-app","maxAttempts":%d,"public":false}`
	routes := fmt.Sprintf(route, "r-stock", callerHost, readPath, "safe", timeout.Milliseconds(), 2) + "," +
		fmt.Sprintf(route, "r-orders", callerHost, orderPath, "unsafe", timeout.Milliseconds(), 1)
	return r.putConfig(version, routes, `{"name":"loja-app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`)
}

// answerLong works on a request, and then answers it completely.
func answerLong(w http.ResponseWriter, r *http.Request, _ *run) {
	work := 20 * time.Millisecond
	if strings.HasSuffix(r.URL.Path, "/long") {
		work = longWork
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(work):
	}
	fmt.Fprintln(w, "done")
}

// sendLong sends one quick request and then a long one on each caller's connection.
func (r *rig) sendLong() []answer {
	answers := make([]answer, longCallers)
	var group sync.WaitGroup
	for i := range longCallers {
		group.Go(func() {
			c := newCaller(r, r.front(i))
			defer c.close()
			method, path := http.MethodGet, readPath
			if i >= longCallers/2 {
				method, path = http.MethodPost, orderPath
			}
			first := c.call(request{method: method, path: path + "quick", wait: newTimeout})
			r.log("request %s: %s %squick, status %d, complete %t", first.id, method, path, first.status, first.complete)
			answers[i] = c.call(request{method: method, path: path + "long", wait: newTimeout})
			answers[i].what = method + " " + path + "long"
		})
	}
	group.Wait()
	return answers
}
