package keys

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// watchInterval is the interval between two reads of the files. They are read whole
// each time, a few kilobytes: on some file systems the modification time does not
// show reliably whether the content changed.
const watchInterval = 2 * sardine.Second

// Watch reloads the files every watchInterval until dying is closed. It runs as a
// background task of a node. A repeated error is logged only once until it changes
// or the files are valid again.
func (s *Set) Watch(dying <-chan struct{}, c sardine.Clock, l *slog.Logger) error {
	if s.node == nil && s.callers == nil {
		return nil
	}
	failed := ""
	for {
		select {
		case <-dying:
			return nil
		case <-c.After(watchInterval):
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
