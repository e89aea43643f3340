package main

import (
	"net/http"
	"time"
)

const (
	leavingWorkers  = 5
	leavingWarmup   = 4 * time.Second
	leavingTime     = 8 * time.Second // from the first word of it to the exit
	leavingRest     = 3 * time.Second
	leavingCallers  = 12
	drainTime       = 2 * time.Second // drainMs of the deployment
	leavingGrace    = 1500 * time.Millisecond
	leavingInterval = 50 * time.Millisecond
)

// playLeaving runs the case: one of five workers is cut off from the control nodes, and
// leaves. It says so in all its answers. It reports whether requests reach the worker
// later than the rule allows after an entry node has passed on such an answer.
func playLeaving(s *site, trouble bool) (broken bool, err error) {
	var all []*worker
	for i := range leavingWorkers {
		w, err := startWorker(s, i+1)
		if err != nil {
			return false, err
		}
		all = append(all, w)
	}
	if err := s.boot(smallConfig()); err != nil {
		return false, err
	}
	c := startWith(&callers{site: s, method: http.MethodPost, path: "/book/", pause: leavingInterval}, leavingCallers)
	time.Sleep(leavingWarmup)
	w := all[0]
	w.cut.Store(trouble)
	w.leaving.Store(true)
	s.record.say("worker %s leaves, cut off from the control nodes: %v", w.id, trouble)
	if trouble {
		time.Sleep(leavingTime)
	} else {
		time.Sleep(heartbeatInterval + drainTime + leavingGrace)
	}
	w.exit()
	time.Sleep(leavingRest)
	return judgeLeaving(s, c.end(), w), nil
}

// judgeLeaving counts the requests that an entry node has sent to a worker though they
// came later than drainMs after the node had passed on an answer of the worker that says
// that it leaves.
func judgeLeaving(s *site, ends []outcome, w *worker) bool {
	first := map[string]time.Time{} // by entry node
	for _, o := range ends {
		if o.leaves != w.id {
			continue
		}
		if at, known := first[o.entry]; !known || o.doneAt.Before(at) {
			first[o.entry] = o.doneAt
		}
	}
	late, lost := map[string]int{}, 0
	for _, o := range ends {
		if w.runs(o.id) == 0 {
			continue
		}
		if o.status != http.StatusOK {
			lost++
			s.record.say("order %s, run by worker %s, ends with status %d at its requester", o.id, w.id, o.status)
		}
		if at, known := first[o.entry]; known && o.sentAt.After(at.Add(drainTime)) {
			late[o.entry]++
			s.record.add("DRAIN: order %s reaches worker %s from %s, sent %.3f s after an answer that says that the worker leaves",
				o.id, w.id, o.entry, o.sentAt.Sub(at).Seconds())
		}
	}
	broken := false
	for _, n := range s.entries() {
		s.record.say("%s: %d orders reach the worker later than %v after such an answer", n.name, late[n.name], drainTime)
		broken = broken || late[n.name] > 0
	}
	s.record.say("%d orders, %d of them run by the leaving worker without an answer to their requester", len(ends), lost)
	return broken
}
