package fake

import (
	sardine "sardineswitch.dev/sardine"
)

// Crash ends an engine's process.
func (w *World) Crash(e *Engine) {
	e.alive = false
	e.holding = sardine.CurrentOrder{}
	w.changed(e)
}

// Start begins an engine's next incarnation, unless it runs.
func (w *World) Start(e *Engine) {
	if e.alive {
		return
	}
	e.start()
	w.changed(e)
}

// CrashFor ends an engine's process and starts the next one after a time.
func (w *World) CrashFor(e *Engine, d sardine.Millis) {
	w.Crash(e)
	w.After(d, func() { w.Start(e) })
}

// Pause stops an engine for a time. It then goes on as before.
func (w *World) Pause(e *Engine, d sardine.Millis) {
	e.pausedUntil = w.now + d
	w.changed(e)
	w.After(d+1, func() {
		if e.running(w.now) {
			w.changed(e)
		}
	})
}

// Leave makes an engine announce that it leaves, end after a notice and start
// again after a further time.
func (w *World) Leave(e *Engine, notice, away sardine.Millis) {
	if !e.alive || e.leaving {
		return
	}
	e.leaving = true
	w.changed(e)
	incarnation := e.incarnation
	w.After(notice, func() {
		if e.alive && e.incarnation == incarnation {
			w.CrashFor(e, away)
		}
	})
}

// SetSlowdown makes an engine take a multiple of the usual time for a token; 1 is
// usual.
func (w *World) SetSlowdown(e *Engine, ratio float64) {
	e.slow = ratio
	w.changed(e)
}

// ChangeLeader ends the leader's term. It goes on acting for a while without
// knowing, and after a gap the next leader begins with no soft state.
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
