// Package loss reports from the log lines of entry nodes which requests were lost,
// when and why, and whether large requests are served less often than others.
package loss

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// Record is the outcome of one request, as a log line reports it: it was refused,
// failed, abandoned by its caller, answered late or, for a sample, answered in
// time.
type Record struct {
	at        sardine.Millis // time of the log line in Unix milliseconds, by the node's clock
	node      string
	event     event.ID
	route     string
	target    string // last target of the request, empty for none
	code      codes.Code
	began     bool // the caller had received a part of the answer
	attempts  int
	picked    sardine.Millis // this and the next two: time since the request arrived, -1 if it did not happen
	sent      sardine.Millis
	first     sardine.Millis
	pause     sardine.Millis // longest pause between two pieces of the answer
	objective sardine.Millis // the route's objective for the first piece
	gap       sardine.Millis // the route's objective for the longest pause, 0 for none
	requests  float64        // in flight at the target when it was chosen
	slots     float64        // slots of the target's batch, 0 if not known
	prompt    int            // tokens of the prompt
	answer    int            // expected tokens of the answer, 0 if not known
	of        float64        // number of served requests that the line stands for
}

// At returns the time of the log line.
func (r Record) At() sardine.Millis {
	return r.at
}

// Route returns the route's name, empty for a request that matches no route.
func (r Record) Route() string {
	return r.route
}

// Target returns the last target of the request, empty for none.
func (r Record) Target() string {
	return r.target
}

// Node returns the entry node's name.
func (r Record) Node() string {
	return r.node
}

// Late reports whether the request was answered in full, but late.
func (r Record) Late() bool {
	return r.event == event.RequestLate
}
