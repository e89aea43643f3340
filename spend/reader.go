// Package spend adds up from log lines how many repeats all entry nodes sent.
package spend

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/loss"
)

// second is what one node counted for one service within a second.
type second struct {
	at      sardine.Millis // its end, in Unix milliseconds of the node's clock
	node    string
	service string
	firsts  int
	repeats int
	denied  int
}

// Reader collects what log lines tell of repeats.
type Reader struct {
	loss.LineCounter
	seconds []second
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{}
}

// Read takes all lines of a log. Lines that tell of no repeats are passed over. The
// error is codes.UsageError for a line that is too long.
func (r *Reader) Read(from io.Reader) error {
	return r.EachLine(from, r.line)
}

func (r *Reader) line(line []byte) error {
	if !bytes.Contains(line, []byte(event.RepeatsCounted.Row().Name)) {
		return nil
	}
	var j struct {
		Time    time.Time `json:"time"`
		Node    string    `json:"node"`
		Event   int       `json:"event"`
		Service string    `json:"service"`
		Firsts  int       `json:"firsts"`
		Repeats int       `json:"repeats"`
		Denied  int       `json:"denied"`
	}
	if err := json.Unmarshal(loss.LineJSON(line), &j); err != nil {
		return err
	}
	if event.ID(j.Event) != event.RepeatsCounted {
		return nil
	}
	r.seconds = append(r.seconds, second{
		at:      sardine.Millis(j.Time.UnixMilli()),
		node:    j.Node,
		service: j.Service,
		firsts:  j.Firsts,
		repeats: j.Repeats,
		denied:  j.Denied,
	})
	return nil
}
