package fake

import (
	sardine "sardineswitch.dev/sardine"
)

// Crash ends an engine's process.
func (w *World) Crash(e *Engine) {
	e.alive = false
	e.currentOrder = sardine.CurrentOrder{}
	w.engineChanged(e)
}

// Start begins an engine's next incarnation, unless its process is running.
func (w *World) Start(e *Engine) {
	if e.alive {
		return
	}
	e.start()
	w.engineChanged(e)
}

// CrashFor ends an engine's process and starts the next one after a time.
func (w *World) CrashFor(e *Engine, d sardine.Millis) {
	w.Crash(e)
	w.After(d, func() { w.Start(e) })
}

// Pause stops an engine for a time. It keeps its state.
func (w *World) Pause(e *Engine, d sardine.Millis) {
	e.pausedUntil = w.now + d
	w.engineChanged(e)
	w.After(d+1, func() {
		if e.running(w.now) {
			w.engineChanged(e)
		}
	})
}

// Leave makes an engine announce that it leaves, ends its process after the
// notice and starts the next one after a further time.
func (w *World) Leave(e *Engine, notice, downtime sardine.Millis) {
	if !e.alive || e.leaving {
		return
	}
	e.leaving = true
	w.engineChanged(e)
	incarnation := e.incarnation
	w.After(notice, func() {
		if e.alive && e.incarnation == incarnation {
			w.CrashFor(e, downtime)
		}
	})
}

// SetSlowdown sets the time per token of an engine relative to other engines; 1 is
// the usual time.
func (w *World) SetSlowdown(e *Engine, ratio float64) {
	e.slowdown = ratio
	w.engineChanged(e)
}

// ChangeLeader ends the leader's term. The deposed leader goes on acting for a
// time, as it has not learned of the change; after the gap the next leader
// starts with nothing but the log.
func (w *World) ChangeLeader(gap, acting sardine.Millis) {
	if w.leader == nil {
		return
	}
	old := w.leader
	w.leader = nil
	w.deposed = old
	old.deposed = true
	w.After(acting, func() {
		if w.deposed == old {
			w.deposed = nil
		}
	})
	w.After(gap, w.elect)
}
