package fake

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
)

// reporter carries the engines' announcements to the leader.
type reporter interface {
	// changed is called when an engine's state has changed.
	changed(e *Engine)
	// elected is called when a new leader has begun its term.
	elected()
	// contactLeader records a contact of the home nodes with a leader.
	contactLeader(l *leader)
}

func newReporter(w *World) reporter {
	if w.homeCount == 0 {
		return &changeReporter{w: w}
	}
	return newHeartbeatReporter(w)
}

// changeReporter reports changes only, as a single home node to which all
// engines announce themselves.
type changeReporter struct {
	w        *World
	sequence uint64
}

const singleHome = sardine.NodeID("home")

func (c *changeReporter) changed(e *Engine) {
	if e.running(c.w.now) {
		c.w.After(hopDelay, func() { c.report(e) })
		return
	}
	incarnation := e.incarnation
	silence := targetLease - c.w.between(0, heartbeatInterval)
	e.lossReportAt = c.w.now + silence
	c.w.After(silence, func() {
		if e.incarnation == incarnation && !e.running(c.w.now) {
			c.reportLost(e)
		}
	})
}

func (c *changeReporter) report(e *Engine) {
	if !e.running(c.w.now) {
		return
	}
	c.deliver(fleet.Report{Statuses: []fleet.Status{{Announcement: e.announcement()}}})
}

func (c *changeReporter) reportLost(e *Engine) {
	c.deliver(fleet.Report{Lost: []fleet.Ref{{VM: e.VM, Incarnation: e.incarnation}}})
}

func (c *changeReporter) deliver(r fleet.Report) {
	l := c.w.leader
	if l == nil {
		return
	}
	c.sequence++
	r.Home = singleHome
	r.Incarnation = 1
	r.Sequence = c.sequence
	l.fleet.Merge(c.w.now, r)
	c.w.requestRound()
}

func (c *changeReporter) elected() {
	c.w.After(sardine.Second, func() {
		r := fleet.Report{Full: true}
		for _, e := range c.w.engines {
			if e.running(c.w.now) {
				r.Statuses = append(r.Statuses, fleet.Status{Announcement: e.announcement()})
			}
		}
		c.deliver(r)
	})
}

func (c *changeReporter) contactLeader(l *leader) {
	if !l.deposed {
		l.fleet.RecordContact(c.w.now, singleHome, 1)
	}
}

// heartbeatReporter makes engines announce themselves to home nodes each
// second.
type heartbeatReporter struct {
	w     *World
	homes []*fleet.Home
	down  []bool
}

func newHeartbeatReporter(w *World) *heartbeatReporter {
	h := &heartbeatReporter{w: w, down: make([]bool, w.homeCount)}
	for i := range w.homeCount {
		h.homes = append(h.homes, fleet.NewHome(homeName(i), 1))
		w.After(w.between(0, heartbeatInterval), func() { h.sendReport(i) })
	}
	for i, e := range w.engines {
		e.home = i % w.homeCount
		w.After(w.between(0, heartbeatInterval), func() { h.heartbeat(e) })
	}
	return h
}

func homeName(i int) sardine.NodeID {
	return sardine.NodeID(fmt.Sprintf("home%d", i))
}

// heartbeat announces an engine each second. The load balancer picks another
// home node when the current one is down, and sometimes at random.
func (h *heartbeatReporter) heartbeat(e *Engine) {
	h.w.After(heartbeatInterval, func() { h.heartbeat(e) })
	if !e.running(h.w.now) {
		return
	}
	if h.down[e.home] || h.w.chance(0.05) {
		e.home = h.w.random.IntN(len(h.homes))
	}
	h.announce(e)
}

func (h *heartbeatReporter) announce(e *Engine) {
	if h.down[e.home] {
		return
	}
	home := h.homes[e.home]
	a := e.announcement()
	h.w.After(hopDelay, func() {
		// The home node rejects the announcement of an earlier incarnation.
		_ = home.Announce(h.w.now, a)
	})
}

func (h *heartbeatReporter) changed(e *Engine) {
	if e.running(h.w.now) {
		h.announce(e)
	}
}

func (h *heartbeatReporter) elected() {}

func (h *heartbeatReporter) contactLeader(*leader) {}

// sendReport sends a home node's report to the leader each 100 ms. If there is
// nothing to report, it only records a contact.
func (h *heartbeatReporter) sendReport(i int) {
	h.w.After(roundInterval, func() { h.sendReport(i) })
	l := h.w.leader
	if h.down[i] || l == nil {
		return
	}
	home := h.homes[i]
	home.Expire(h.w.now)
	if h.w.chance(h.w.networkFaults.LoseReport) {
		home.Report(h.w.now)
		return
	}
	r, changed := home.Report(h.w.now)
	if !changed {
		home.Acknowledge(l.fleet.RecordContact(h.w.now, homeName(i), 1))
		return
	}
	home.Acknowledge(l.fleet.Merge(h.w.now, r))
	h.w.requestRound()
}

// DisconnectHome disconnects a home node for a time. It has no effect without
// WithHomes.
func (w *World) DisconnectHome(i int, d sardine.Millis) {
	h, ok := w.reporter.(*heartbeatReporter)
	if !ok {
		return
	}
	i %= len(h.homes)
	h.down[i] = true
	w.After(d, func() { h.down[i] = false })
}
