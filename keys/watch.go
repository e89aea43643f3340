package keys

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// watchEvery is the time between two looks at the files. They are read whole each
// time: a few kilobytes, and a changed modification time is no proof of a changed
// content on every file system.
const watchEvery = 2 * sardine.Second

// Watch reads the files again until dying is closed. It is the body of a duty. A
// file that can't be used is logged once, until it can be used again.
func (s *Set) Watch(dying <-chan struct{}, c sardine.Clock, l *slog.Logger) error {
	if s.node == nil && s.callers == nil {
		return nil
	}
	failed := ""
	for {
		select {
		case <-dying:
			return nil
		case <-c.After(watchEvery):
		}
		changed, err := s.Reload()
		if changed {
			event.Log(l, event.KeysReloaded)
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		if text != "" && text != failed {
			event.Log(l, event.DutyFailed, slog.Int("code", int(codes.Of(err))), slog.String("error", text))
		}
		failed = text
	}
}
