package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of the worker that has left. In the site file 0.22 of the workers
// are partitioned from the control nodes for 10 s: here one of five for 8 s.
const (
	leftWorkers  = 5
	cutLength    = 8 * time.Second
	lateBy       = 500 * time.Millisecond // of the pings that the partition held up
	drainTime    = 2 * time.Second        // drainMs
	stillServes  = 1500 * time.Millisecond
	orderTime    = 40 * time.Millisecond
	orderCallers = 8
	orderTraffic = 6 * time.Second
)

// link is a worker's path to one control node.
type link struct {
	to       string
	listener net.Listener

	mu   sync.Mutex
	cut  bool
	held [][]byte // what was sent during the cut
}

func newLink(ip, to string) (*link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{to: to, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

// carry forwards one connection, or holds up its bytes.
func (k *link) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	if cut {
		text, _ := io.ReadAll(c) // until the worker gives up
		k.mu.Lock()
		k.held = append(k.held, text)
		k.mu.Unlock()
		return
	}
	up, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() { _, _ = io.Copy(up, c) }() // ends with the connection
	_, _ = io.Copy(c, up)
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// deliver sends what was held up.
func (k *link) deliver() int {
	k.mu.Lock()
	held := k.held
	k.held = nil
	k.mu.Unlock()
	for _, text := range held {
		up, err := net.Dial("tcp", k.to)
		if err != nil {
			continue
		}
		_, _ = up.Write(text)
		_ = up.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, up) // its sender has given up
		_ = up.Close()
	}
	return len(held)
}

// playLeft partitions an idle worker from the control nodes, and lets it leave after
// the partition, before the pings arrive that the partition held up.
func playLeft(r *rig) (verdict, error) {
	if err := r.start(); err != nil {
		return unable, err
	}
	var mu sync.Mutex
	began := map[string]time.Time{} // of each run at the worker that leaves
	for i := range leftWorkers {
		leaves := i == leftWorkers-1
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i+1), "loja-app", func(w http.ResponseWriter, q *http.Request, one *run) {
			if leaves {
				mu.Lock()
				began[one.request] = time.Now()
				mu.Unlock()
			}
			select {
			case <-q.Context().Done():
			case <-time.After(orderTime):
				fmt.Fprintln(w, "done")
			}
		}); err != nil {
			return unable, err
		}
	}
	w := r.workers[leftWorkers-1]
	links, err := w.connectByLinks()
	if err != nil {
		return unable, err
	}
	defer func() {
		for _, k := range links {
			_ = k.listener.Close() // the case is over
		}
	}()
	if err := r.putLong(7, oldTimeout); err != nil {
		return unable, err
	}
	if err := r.awaitReady(orderPath + "quick"); err != nil {
		return unable, err
	}
	if err := r.awaitRun(w); err != nil {
		return unable, err
	}
	if r.trouble {
		r.log("%s is partitioned from the control nodes", w.id)
		for _, k := range links {
			k.setCut(true)
		}
	}
	time.Sleep(cutLength)
	left, err := w.leave(links)
	if err != nil {
		return unable, err
	}
	answers := r.sendOrders()
	mu.Lock()
	defer mu.Unlock()
	return r.judgeLeft(answers, began, left), nil
}

// connectByLinks makes the worker call the control nodes by links of its own.
func (w *worker) connectByLinks() ([]*link, error) {
	var links []*link
	var via []string
	for _, a := range w.rig.controlAddresses() {
		k, err := newLink(w.rig.ip(200), a)
		if err != nil {
			return links, err
		}
		links = append(links, k)
		via = append(via, k.listener.Addr().String())
	}
	w.setVia(via)
	return links, nil
}

// leave ends the partition and deregisters the worker, which exits some time later. What
// the partition held up arrives soon after the acknowledgement, whose time it returns.
func (w *worker) leave(links []*link) (time.Time, error) {
	for _, k := range links {
		k.setCut(false)
	}
	w.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := w.rig.postTo(ctx, w.addresses(), "/api/instances/"+w.id+"/deregister", ""); err != nil {
		return time.Time{}, err
	}
	left := time.Now()
	w.rig.log("the partition is over, and the leave of %s is acknowledged", w.id)
	time.AfterFunc(lateBy, func() {
		for _, k := range links {
			w.rig.log("%d late pings arrive at %s", k.deliver(), k.to)
		}
	})
	time.AfterFunc(drainTime+stillServes, func() {
		w.stop()
		w.rig.log("%s exits", w.id)
	})
	return left, nil
}

// awaitRun waits until a worker has run a request.
func (r *rig) awaitRun(w *worker) error {
	return until(15*time.Second, func() bool {
		c := newCaller(r, r.front(0))
		defer c.close()
		for _, one := range r.runsOf(c.call(request{method: http.MethodPost, path: orderPath + "quick", wait: time.Second}).id) {
			if one.worker == w.id {
				return true
			}
		}
		return false
	})
}

// sendOrders sends orders one after the other on each caller's connection.
func (r *rig) sendOrders() []answer {
	began := time.Now()
	var mu sync.Mutex
	var all []answer
	var group sync.WaitGroup
	for i := range orderCallers {
		group.Go(func() {
			c := newCaller(r, r.front(i))
			defer c.close()
			for time.Since(began) < orderTraffic {
				a := c.call(request{method: http.MethodPost, path: orderPath + "confirm", body: "order", wait: time.Second})
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return all
}

// judgeLeft counts the requests that reached the worker later than drainMs after the
// acknowledgement of its leave.
func (r *rig) judgeLeft(all []answer, began map[string]time.Time, left time.Time) verdict {
	late, failed := 0, 0
	for _, a := range all {
		at, there := began[a.id]
		after := at.Sub(left)
		if there && after > drainTime {
			late++
		}
		if a.status != http.StatusOK {
			failed++
		}
		if there || a.status != http.StatusOK {
			r.log("order %s: status %d, complete %t, error %v; reached the worker that has left: %t, %.2f s after the ack; runs: %s",
				a.id, a.status, a.complete, a.err, there, after.Seconds(), describe(r.runsOf(a.id)))
		}
	}
	r.log("%d orders, %d of them not served; %d reached the worker later than %v after the acknowledgement of its leave; allowed are 0", len(all), failed, late, drainTime)
	if late > 0 {
		return broken
	}
	return held
}
