package fake

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// leader is a control node during one term: its copy of the replicated state,
// its view of the fleet and its planner.
type leader struct {
	term        uint64
	machine     *state.Machine
	fleet       *fleet.Leader
	planner     *plan.Planner
	deposed     bool
	roundNeeded bool // something has changed since the last round
	lastRound   sardine.Millis
	wakeAt      sardine.Millis
}

// elect starts the next term. The new leader has nothing but the log.
func (w *World) elect() {
	w.term++
	l := &leader{
		term:        w.term,
		machine:     state.NewMachine(),
		fleet:       fleet.NewLeader(),
		planner:     plan.New(w.plannerOptions...),
		roundNeeded: true,
	}
	for _, e := range w.log {
		l.machine.Apply(e.index, 0, e.command)
	}
	l.fleet.Lead(w.now, l.term)
	l.planner.Lead(w.now, l.term, l.machine)
	if w.plannerStore != nil {
		l.planner.SetWeightStore(*w.plannerStore)
	}
	w.leader = l
	w.reporter.elected()
}

// dueAt returns when the leader's next round is due.
func (l *leader) dueAt(w *World) sardine.Millis {
	if l.roundNeeded {
		return l.lastRound + roundInterval
	}
	return max(l.wakeAt, w.now+1)
}

// runRound runs a planning round of a leader if one is due.
func (w *World) runRound(l *leader) {
	if l == nil || l.dueAt(w) > w.now && !(l.wakeAt <= w.now) {
		return
	}
	w.rounds++
	l.roundNeeded = false
	l.lastRound = w.now
	w.reporter.contactLeader(l)
	view := l.fleet.At(w.now)
	commands := l.fleet.Commands(w.now, l.machine)
	started := w.stopwatch()
	out, err := l.planner.Round(w.now, l.machine, view, w.teams)
	w.recordRoundTime(w.stopwatch() - started)
	w.fail(err)
	l.wakeAt = out.Wake
	w.propose(l, slices.Concat(commands, out.Commands))
	for _, s := range out.Orders {
		w.sendOrder(l, s)
	}
}

func (w *World) recordRoundTime(millis float64) {
	w.roundSum += millis
	w.roundMax = max(w.roundMax, millis)
}

// propose commits commands in order after commitDelay. Those of a leader that
// has been deposed by then are rejected.
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
			w.log = append(w.log, logEntry{index: w.index, command: c})
			r := l.machine.Apply(w.index, 0, c)
			w.checker.checkCommit(w, c, r)
			w.committed.Apply(w.index, 0, c)
			l.planner.Proposed(w.now, c, r)
		}
		l.roundNeeded = true
		w.markDirty()
	})
}

// sendOrder sends an order to its engine and reports the result to the planner.
// The order may be lost, delayed or duplicated, and the reply lost.
func (w *World) sendOrder(l *leader, s plan.SendOrder) {
	if w.chance(w.networkFaults.LoseOrder) {
		w.finishOrder(l, s, codes.New(codes.NoTarget, "no answer"), orderTimeout)
		return
	}
	delay := hopDelay
	if w.chance(w.networkFaults.Delay) {
		delay = w.between(0, 3*sardine.Second)
	}
	if w.chance(w.networkFaults.Duplicate) {
		w.After(w.between(delay, 4*sardine.Second), func() { _, _ = w.deliverOrder(s) })
	}
	sentAt := w.now
	w.After(delay, func() {
		answered, err := w.deliverOrder(s)
		late := w.now+hopDelay > sentAt+orderTimeout
		if !answered || late || w.chance(w.networkFaults.LoseReply) {
			w.finishOrder(l, s, codes.New(codes.NoTarget, "no answer"), max(sentAt+orderTimeout-w.now, 0))
			return
		}
		w.finishOrder(l, s, err, hopDelay)
	})
}

// finishOrder reports an order's result to the planner after a time.
func (w *World) finishOrder(l *leader, s plan.SendOrder, err error, after sardine.Millis) {
	w.After(after, func() {
		l.planner.OrderDone(w.now, s, err)
		l.roundNeeded = true
	})
}

// readFromHost makes the engine ready after the time that it takes to read the
// weights from its host.
func (w *World) readFromHost(e *Engine) {
	h := e.currentOrder
	if w.hostTime == 0 {
		e.finishHostRead(h)
		return
	}
	w.After(w.hostTime, func() {
		if e.finishHostRead(h) {
			w.engineChanged(e)
		}
	})
}

// deliverOrder passes an order to the engine that runs on the VM at present, of
// whichever incarnation. It reports whether the engine replied.
func (w *World) deliverOrder(s plan.SendOrder) (answered bool, err error) {
	e := w.byVM[s.VM]
	if !e.running(w.now) {
		return false, nil
	}
	before := e.currentOrder
	err = e.handleOrder(s.Order)
	if e.usesStore(w.now) {
		w.store.add(e)
	}
	if e.fromHost {
		w.readFromHost(e)
	}
	if e.currentOrder.Group != before.Group && e.currentOrder.Group != "" {
		w.fail(w.checker.checkMove(w, e, before))
	}
	if e.currentOrder != before {
		w.engineChanged(e)
	}
	return true, err
}
