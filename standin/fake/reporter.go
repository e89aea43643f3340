package fake

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
)

// reporter carries the engines' announcements to the leader.
type reporter interface {
	// changed tells that an engine's state has changed.
	changed(e *Engine)
	// elected tells that a new leader began.
	elected()
	// heard lets the homes' requests reach a leader.
	heard(l *leader)
}

func newReporter(w *World) reporter {
	if w.homeCount == 0 {
		return &quietReporter{w: w}
	}
	return newBeatReporter(w)
}

// quietReporter reports changes only, as if one home heard all engines.
type quietReporter struct {
	w        *World
	sequence uint64
}

const quietHome = sardine.NodeID("home")

func (q *quietReporter) changed(e *Engine) {
	if e.running(q.w.now) {
		q.w.After(hopDelay, func() { q.report(e) })
		return
	}
	incarnation := e.incarnation
	away := lease - q.w.between(0, beatEvery)
	e.beatAt = q.w.now + away
	q.w.After(away, func() {
		if e.incarnation == incarnation && !e.running(q.w.now) {
			q.lose(e)
		}
	})
}

func (q *quietReporter) report(e *Engine) {
	if !e.running(q.w.now) {
		return
	}
	q.take(fleet.Report{Statuses: []fleet.Status{{Announcement: e.announcement()}}})
}

func (q *quietReporter) lose(e *Engine) {
	q.take(fleet.Report{Lost: []fleet.Ref{{VM: e.VM, Incarnation: e.incarnation}}})
}

func (q *quietReporter) take(r fleet.Report) {
	l := q.w.leader
	if l == nil {
		return
	}
	q.sequence++
	r.Home = quietHome
	r.Incarnation = 1
	r.Sequence = q.sequence
	l.fleet.Merge(q.w.now, r)
	q.w.wake()
}

func (q *quietReporter) elected() {
	q.w.After(sardine.Second, func() {
		r := fleet.Report{Full: true}
		for _, e := range q.w.engines {
			if e.running(q.w.now) {
				r.Statuses = append(r.Statuses, fleet.Status{Announcement: e.announcement()})
			}
		}
		q.take(r)
	})
}

func (q *quietReporter) heard(l *leader) {
	if !l.deposed {
		l.fleet.RecordContact(q.w.now, quietHome, 1)
	}
}

// beatReporter lets engines announce themselves each second to home nodes.
type beatReporter struct {
	w     *World
	homes []*fleet.Home
	down  []bool
}

func newBeatReporter(w *World) *beatReporter {
	b := &beatReporter{w: w, down: make([]bool, w.homeCount)}
	for i := range w.homeCount {
		b.homes = append(b.homes, fleet.NewHome(homeName(i), 1))
		w.After(w.between(0, beatEvery), func() { b.ask(i) })
	}
	for i, e := range w.engines {
		e.home = i % w.homeCount
		w.After(w.between(0, beatEvery), func() { b.beat(e) })
	}
	return b
}

func homeName(i int) sardine.NodeID {
	return sardine.NodeID(fmt.Sprintf("home%d", i))
}

// beat is an engine's announcement each second. The balancer picks another home
// when the engine's own is down, and now and then at random.
func (b *beatReporter) beat(e *Engine) {
	b.w.After(beatEvery, func() { b.beat(e) })
	if !e.running(b.w.now) {
		return
	}
	if b.down[e.home] || b.w.chance(0.05) {
		e.home = b.w.random.IntN(len(b.homes))
	}
	b.announce(e)
}

func (b *beatReporter) announce(e *Engine) {
	if b.down[e.home] {
		return
	}
	home := b.homes[e.home]
	a := e.announcement()
	b.w.After(hopDelay, func() {
		// An announcement of an earlier incarnation is refused.
		_ = home.Announce(b.w.now, a)
	})
}

func (b *beatReporter) changed(e *Engine) {
	if e.running(b.w.now) {
		b.announce(e)
	}
}

func (b *beatReporter) elected() {}

func (b *beatReporter) heard(*leader) {}

// ask is a home's request to the leader, each tenth of a second with news and
// each second without.
func (b *beatReporter) ask(i int) {
	b.w.After(roundEvery, func() { b.ask(i) })
	l := b.w.leader
	if b.down[i] || l == nil {
		return
	}
	home := b.homes[i]
	home.Expire(b.w.now)
	if b.w.chance(b.w.chaos.LoseReport) {
		home.Report(b.w.now)
		return
	}
	r, news := home.Report(b.w.now)
	if !news {
		home.Acknowledge(l.fleet.RecordContact(b.w.now, homeName(i), 1))
		return
	}
	home.Acknowledge(l.fleet.Merge(b.w.now, r))
	b.w.wake()
}

// DisconnectHome cuts a home node off for a time.
func (w *World) DisconnectHome(i int, d sardine.Millis) {
	b, ok := w.reporter.(*beatReporter)
	if !ok {
		return
	}
	i %= len(b.homes)
	b.down[i] = true
	w.After(d, func() { b.down[i] = false })
}
