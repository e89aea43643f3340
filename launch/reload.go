package launch

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// fileEvery is the time between two looks at the settings file, which may change
// without a signal.
const fileEvery = 2 * time.Second

// Reload calls read with the content of the settings file each time it has
// changed, and after each SIGHUP. It returns when done is closed.
func Reload(path string, done <-chan struct{}, read func(text []byte, err error)) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	last, err := os.ReadFile(path)
	if err != nil {
		read(nil, err)
	}
	timer := time.NewTicker(fileEvery)
	defer timer.Stop()
	for {
		asked := false
		select {
		case <-done:
			return
		case <-hups:
			asked = true
		case <-timer.C:
		}
		text, err := os.ReadFile(path)
		if !asked && (err != nil || bytes.Equal(text, last)) {
			continue
		}
		if err == nil {
			last = text
		}
		read(text, err)
	}
}
