// Package logs creates the logger of a process from its settings. Events are
// logged by package event.
package logs

import (
	"io"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/conf"
)

// New returns a logger that writes to w in the format and from the level of the
// settings. Every line has the node's name.
func New(w io.Writer, l conf.Log, node sardine.NodeID) *slog.Logger {
	options := &slog.HandlerOptions{Level: Level(l.Level())}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if l.Format() == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	return slog.New(h).With(slog.String("node", string(node)))
}

// Level returns the level with a name, info for an unknown name.
func Level(name string) slog.Level {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // the level remains info on an error
	return level
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
