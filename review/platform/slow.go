package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of the slow worker. In the site file 0.16 of the workers work five
// times as long for 6.5 s: here one of six.
const (
	slowWorkers  = 6
	slowFactor   = 5
	slowFrom     = 3 * time.Second
	slowLength   = 6500 * time.Millisecond
	slowTraffic  = 12 * time.Second
	slowCallers  = 12
	readTimeout  = 5 * time.Second // of the route
	pieces       = 8               // of an answer of 800 bytes
	pieceTime    = 20 * time.Millisecond
	mostLostRead = 3 // closed connections that the rule allows
)

// pieceText is one piece of an answer.
var pieceText = strings.Repeat("x", 99) + "\n"

// slowable answers in chunks, a piece after the other as it works.
type slowable struct {
	slow atomic.Bool
}

func (s *slowable) answer(w http.ResponseWriter, r *http.Request, _ *run) {
	control := http.NewResponseController(w)
	for range pieces {
		fmt.Fprint(w, pieceText)
		_ = control.Flush()
		pause := pieceTime
		if s.slow.Load() {
			pause *= slowFactor
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}

// playSlow sends reads one after the other on each caller's connection, while a worker
// is slow for some seconds.
func playSlow(r *rig) (verdict, error) {
	if err := r.start(); err != nil {
		return unable, err
	}
	all := make([]*slowable, slowWorkers)
	for i := range all {
		all[i] = &slowable{}
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i+1), "loja-app", all[i].answer); err != nil {
			return unable, err
		}
	}
	if err := r.putLong(7, readTimeout); err != nil {
		return unable, err
	}
	if err := r.awaitReady(orderPath + "quick"); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second) // all machines are in touch
	if r.trouble {
		time.AfterFunc(slowFrom, func() { all[0].slow.Store(true) })
		time.AfterFunc(slowFrom+slowLength, func() { all[0].slow.Store(false) })
	}
	return r.judgeSlow(r.sendReads()), nil
}

// sendReads sends reads one after the other on each caller's connection.
func (r *rig) sendReads() []answer {
	began := time.Now()
	var mu sync.Mutex
	var all []answer
	var group sync.WaitGroup
	for i := range slowCallers {
		group.Go(func() {
			c := newCaller(r, r.front(i))
			defer c.close()
			for time.Since(began) < slowTraffic {
				a := c.call(request{method: http.MethodGet, path: readPath + "stock", wait: readTimeout})
				a.what = fmt.Sprintf("ended at %.2f s of the traffic", time.Since(began).Seconds())
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return all
}

// judgeSlow counts the requests whose connection was closed without an answer.
func (r *rig) judgeSlow(all []answer) verdict {
	whole, lost, others := 0, 0, 0
	for _, a := range all {
		runs := r.runsOf(a.id)
		switch {
		case a.complete && a.status == http.StatusOK && a.body == strings.Repeat(pieceText, pieces):
			whole++
			continue
		case a.kept && a.status == 0 && len(runs) > 0 && a.took < readTimeout:
			lost++
		default:
			others++
		}
		r.log("request %s, %s: kept connection %t, status %d, %d bytes, complete %t, after %.2f s, error %v; runs: %s",
			a.id, a.what, a.kept, a.status, len(a.body), a.complete, a.took.Seconds(), a.err, describe(runs))
	}
	r.log("%d requests: %d whole, %d were passed on to a sound worker and their kept connection was closed without an answer before the route's %v, %d others; allowed are %d",
		len(all), whole, lost, readTimeout, others, mostLostRead)
	if lost > mostLostRead {
		return broken
	}
	return held
}
