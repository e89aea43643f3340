package entry

import (
	"context"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// watchdog cancels a dispatch whose target is silent for too long.
type watchdog struct {
	timer         *time.Timer
	betweenTokens time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, first, between sardine.Millis) *watchdog {
	return &watchdog{
		timer:         time.AfterFunc(first.Duration(), func() { cancel(errStalled) }),
		betweenTokens: between.Duration(),
	}
}

// reset restarts the timeout after a token.
func (w *watchdog) reset() {
	w.timer.Reset(w.betweenTokens)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}
