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

// fileEvery is the time between two looks at the settings file, which may change
// without a signal.
const fileEvery = 2 * time.Second

// Reloader notices that the settings file has changed, or that SIGHUP says so.
type Reloader struct {
	path string
	last []byte
	hups chan os.Signal
}

// NewReloader returns a Reloader for a file that was read as text. From here on
// SIGHUP no longer ends the process.
func NewReloader(path string, text []byte) *Reloader {
	r := &Reloader{path: path, last: text, hups: make(chan os.Signal, 1)}
	signal.Notify(r.hups, syscall.SIGHUP)
	return r
}

// Run hands each changed text to apply until done is closed. A text with errors
// changes nothing.
func (r *Reloader) Run(done <-chan struct{}, logger *slog.Logger, apply func(text []byte) error) {
	defer signal.Stop(r.hups)
	timer := time.NewTicker(fileEvery)
	defer timer.Stop()
	for {
		asked := false
		select {
		case <-done:
			return
		case <-r.hups:
			asked = true
		case <-timer.C:
		}
		text, err := os.ReadFile(r.path)
		if err == nil && !asked && bytes.Equal(text, r.last) {
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
