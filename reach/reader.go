// Package reach tells from log lines how long settings take to reach every entry
// node.
package reach

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/loss"
)

// record is a line that tells of settings.
type record struct {
	at     sardine.Millis
	node   string
	event  event.ID
	number uint64         // of the layout
	repeat bool           // the change was known already
	lasted sardine.Millis // how long the node's knowledge was not renewed
}

// reachEvents are the events that are kept.
var reachEvents = []event.ID{event.ChangeAccepted, event.LayoutInForce, event.SettingsStale, event.SettingsFresh, event.NodeStarted}

// Reader collects what log lines tell of settings.
type Reader struct {
	loss.LineCounter
	records []record
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{}
}

// Read takes all lines of a log. Lines that tell of no settings are passed over.
// The error is codes.UsageError for a line that is too long.
func (r *Reader) Read(from io.Reader) error {
	return r.EachLine(from, r.line)
}

func (r *Reader) line(line []byte) error {
	for _, id := range reachEvents {
		if !bytes.Contains(line, []byte(id.Row().Name)) {
			continue
		}
		found, err := parse(line)
		if err == nil && found.event == id {
			r.records = append(r.records, found)
		}
		return err
	}
	return nil
}

func parse(line []byte) (record, error) {
	var j struct {
		Time   time.Time `json:"time"`
		Node   string    `json:"node"`
		Event  int       `json:"event"`
		Number uint64    `json:"number"`
		Repeat bool      `json:"repeat"`
		After  int64     `json:"after_ms"`
	}
	if err := json.Unmarshal(loss.LineJSON(line), &j); err != nil {
		return record{}, err
	}
	return record{
		at:     sardine.Millis(j.Time.UnixMilli()),
		node:   j.Node,
		event:  event.ID(j.Event),
		number: j.Number,
		repeat: j.Repeat,
		lasted: sardine.Millis(j.After),
	}, nil
}
