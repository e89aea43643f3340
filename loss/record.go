// Package loss tells from the log lines of entry nodes which requests were lost,
// when and why, and whether large ones are served less often than others.
package loss

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// Record is one request that was refused, failed or left, or was answered late.
type Record struct {
	at        sardine.Millis // of the log line, from any start
	node      string
	event     event.ID
	route     string
	target    string // that had it last, empty for none
	code      codes.Code
	began     bool // the caller had a part of the answer
	attempts  int
	picked    sardine.Millis // times since the request came, -1 for what did not happen
	sent      sardine.Millis
	first     sardine.Millis
	pause     sardine.Millis
	objective sardine.Millis
	gap       sardine.Millis
	requests  float64 // at the target when it was chosen
	slots     float64 // of the target, 0 if not known
	prompt    int     // tokens to read
	answer    int     // tokens to write, as far as its caller knows
	of        float64 // how many requests a line of a served one stands for
}

// At returns the instant of the log line.
func (r Record) At() sardine.Millis {
	return r.at
}

// Route returns the route's name, empty for a request that no route takes.
func (r Record) Route() string {
	return r.route
}

// Target returns the target that had the request last, empty for none.
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
