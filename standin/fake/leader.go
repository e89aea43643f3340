package fake

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// leader is one control node's term: its own copy of the state and its cores.
type leader struct {
	term    uint64
	machine *state.Machine
	fleet   *fleet.Leader
	planner *plan.Planner
	deposed bool
	news    bool
	roundAt sardine.Millis
	wakeAt  sardine.Millis
}

// elect starts the next term with a node that has only the log.
func (w *World) elect() {
	w.term++
	l := &leader{
		term:    w.term,
		machine: state.NewMachine(),
		fleet:   fleet.NewLeader(),
		planner: plan.New(w.planning...),
		news:    true,
	}
	for _, e := range w.log {
		l.machine.Apply(e.index, 0, e.command)
	}
	l.fleet.Lead(w.now, l.term)
	l.planner.Lead(w.now, l.term, l.machine)
	if w.stock != nil {
		l.planner.SetWeightStore(*w.stock)
	}
	w.leader = l
	w.reporter.elected()
}

// dueAt returns when the leader's next round is due.
func (l *leader) dueAt(w *World) sardine.Millis {
	if l.news {
		return l.roundAt + roundEvery
	}
	return max(l.wakeAt, w.now+1)
}

// lead runs a leader's round if one is due.
func (w *World) lead(l *leader) {
	if l == nil || l.dueAt(w) > w.now && !(l.wakeAt <= w.now) {
		return
	}
	w.rounds++
	l.news = false
	l.roundAt = w.now
	w.reporter.heard(l)
	view := l.fleet.At(w.now)
	commands := l.fleet.Commands(w.now, l.machine)
	started := w.stopwatch()
	out, err := l.planner.Round(w.now, l.machine, view, w.teams)
	w.timed(w.stopwatch() - started)
	w.fail(err)
	l.wakeAt = out.Wake
	w.propose(l, slices.Concat(commands, out.Commands))
	for _, s := range out.Orders {
		w.send(l, s)
	}
}

func (w *World) timed(millis float64) {
	w.roundSum += millis
	w.roundMost = max(w.roundMost, millis)
}

// propose commits commands in their order, if the leader still leads then.
func (w *World) propose(l *leader, commands []state.Command) {
	if len(commands) == 0 {
		return
	}
	w.After(commitDelay, func() {
		for _, c := range commands {
			if l.deposed {
				l.planner.Proposed(w.now, c, state.Result{Err: codes.New(codes.NotLeader, "term %d is over", l.term)})
				continue
			}
			w.index++
			w.log = append(w.log, entry{index: w.index, command: c})
			r := l.machine.Apply(w.index, 0, c)
			w.checker.commit(w, c, r)
			w.truth.Apply(w.index, 0, c)
			l.planner.Proposed(w.now, c, r)
		}
		l.news = true
		w.touch()
	})
}

// send carries an order to its engine and the answer back.
func (w *World) send(l *leader, s plan.SendOrder) {
	if w.chance(w.chaos.LoseOrder) {
		w.endOrder(l, s, codes.New(codes.NoTarget, "no answer"), orderGiveUp)
		return
	}
	delay := hopDelay
	if w.chance(w.chaos.Delay) {
		delay = w.between(0, 3*sardine.Second)
	}
	if w.chance(w.chaos.Duplicate) {
		w.After(w.between(delay, 4*sardine.Second), func() { _, _ = w.deliver(s) })
	}
	sentAt := w.now
	w.After(delay, func() {
		answered, err := w.deliver(s)
		late := w.now+hopDelay > sentAt+orderGiveUp
		if !answered || late || w.chance(w.chaos.LoseReply) {
			w.endOrder(l, s, codes.New(codes.NoTarget, "no answer"), max(sentAt+orderGiveUp-w.now, 0))
			return
		}
		w.endOrder(l, s, err, hopDelay)
	})
}

func (w *World) endOrder(l *leader, s plan.SendOrder, err error, after sardine.Millis) {
	w.After(after, func() {
		l.planner.OrderDone(w.now, s, err)
		l.news = true
	})
}

// readHost makes the engine ready once it has read the weights from its host.
func (w *World) readHost(e *Engine) {
	h := e.holding
	if w.hostTime == 0 {
		e.finishHost(h)
		return
	}
	w.After(w.hostTime, func() {
		if e.finishHost(h) {
			w.changed(e)
		}
	})
}

// deliver gives an order to whatever process listens at the address.
func (w *World) deliver(s plan.SendOrder) (answered bool, err error) {
	e := w.byVM[s.VM]
	if !e.running(w.now) {
		return false, nil
	}
	before := e.holding
	err = e.take(s.Order)
	if e.loading(w.now) {
		w.store.begin(e)
	}
	if e.fromHost {
		w.readHost(e)
	}
	if e.holding.Group != before.Group && e.holding.Group != "" {
		w.fail(w.checker.moved(w, e, before))
	}
	if e.holding != before {
		w.changed(e)
	}
	return true, err
}
