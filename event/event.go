// Package event holds the numbered log events. One table defines their
// names, levels and meanings and docs/EVENTS.md; every event is written by Log.
package event

import (
	"context"
	"log/slog"
)

// ID is an event's number. The meaning of a number never changes.
type ID int

// Row describes one event.
type Row struct {
	ID      ID
	Name    string // in snake case
	Level   slog.Level
	Meaning string
	Remedy  string // what an operator should do
}

// Log writes the event with its number, name, level and attributes.
func Log(l *slog.Logger, id ID, attrs ...slog.Attr) {
	row := id.Row()
	all := append([]slog.Attr{slog.Int("event", int(id))}, attrs...)
	l.LogAttrs(context.Background(), row.Level, row.Name, all...)
}

// Row returns the event's row, or a row named unknown_event if the table has
// none.
func (id ID) Row() Row {
	for _, r := range table {
		if r.ID == id {
			return r
		}
	}
	return Row{ID: id, Name: "unknown_event", Level: slog.LevelError}
}

// Table returns a copy of all rows, ordered by number.
func Table() []Row {
	return append([]Row(nil), table...)
}
