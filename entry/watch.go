package entry

import (
	"context"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// watchdog cancels a dispatch whose target stays silent for too long.
type watchdog struct {
	timer   *time.Timer
	between time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, first, between sardine.Millis) *watchdog {
	return &watchdog{
		timer:   time.AfterFunc(first.Duration(), func() { cancel(errStalled) }),
		between: between.Duration(),
	}
}

// heard restarts the wait after a token.
func (w *watchdog) heard() {
	w.timer.Reset(w.between)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}
