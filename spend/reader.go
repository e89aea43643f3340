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
	seconds []second
	lines   int
	bad     int
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{}
}

// Lines returns how many lines were read.
func (r *Reader) Lines() int {
	return r.lines
}

// Unread returns how many lines tell of repeats but could not be read.
func (r *Reader) Unread() int {
	return r.bad
}

// Read takes all lines of a log. Lines that tell of no repeats are passed over. The
// error is codes.UsageError for a line that is too long.
func (r *Reader) Read(from io.Reader) error {
	count, err := loss.EachLine(from, r.line)
	r.lines += count
	return err
}

func (r *Reader) line(line []byte) {
	if !bytes.Contains(line, []byte(event.RepeatsCounted.Row().Name)) {
		return
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
	if err := json.Unmarshal(loss.JSON(line), &j); err != nil {
		r.bad++
		return
	}
	if event.ID(j.Event) != event.RepeatsCounted {
		return
	}
	r.seconds = append(r.seconds, second{
		at:      sardine.Millis(j.Time.UnixMilli()),
		node:    j.Node,
		service: j.Service,
		firsts:  j.Firsts,
		repeats: j.Repeats,
		denied:  j.Denied,
	})
}
