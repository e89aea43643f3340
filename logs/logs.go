// Package logs makes the logger of a process from its settings. Events are
// written through package event.
package logs

import (
	"io"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/conf"
)

// New returns a logger that writes to w as l says. Every line carries the node's
// name.
func New(w io.Writer, l conf.Log, node sardine.NodeID) *slog.Logger {
	options := &slog.HandlerOptions{Level: Level(l.Level())}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if l.Format() == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	return slog.New(h).With(slog.String("node", string(node)))
}

// Level returns the level of a name in the settings, info for an unknown one.
func Level(name string) slog.Level {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // leaves info on an error
	return level
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
