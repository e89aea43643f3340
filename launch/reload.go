package launch

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/event"
)

// pollInterval is the time between two checks of the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// Reloader reloads the settings file when it changes or the process receives SIGHUP.
type Reloader struct {
	path    string
	last    []byte // text that was read last
	hangups chan os.Signal
}

// NewReloader returns a Reloader for a settings file whose current text the caller
// has read. From here on SIGHUP no longer terminates the process.
func NewReloader(path string, text []byte) *Reloader {
	r := &Reloader{path: path, last: text, hangups: make(chan os.Signal, 1)}
	signal.Notify(r.hangups, syscall.SIGHUP)
	return r
}

// Run calls apply with each changed text, and after SIGHUP also with an unchanged
// one, until done is closed. apply must leave the settings as they are if it returns
// an error.
func (r *Reloader) Run(done <-chan struct{}, logger *slog.Logger, apply func(text []byte) error) {
	defer signal.Stop(r.hangups)
	timer := time.NewTicker(pollInterval)
	defer timer.Stop()
	for {
		hangup := false
		select {
		case <-done:
			return
		case <-r.hangups:
			hangup = true
		case <-timer.C:
		}
		text, err := os.ReadFile(r.path)
		if err == nil && !hangup && bytes.Equal(text, r.last) {
			continue
		}
		if err == nil {
			r.last = text
			err = apply(text)
		}
		if err != nil {
			event.Log(logger, event.SettingsRefused, slog.String("error", err.Error()))
			continue
		}
		event.Log(logger, event.SettingsRead)
	}
}
