package spread

import (
	"fmt"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

const (
	resendInterval = 700 * sardine.Millis(1)
	// idleInterval is the time between two calls of Tick while an operator has
	// nothing to do.
	idleInterval = 3600 * sardine.Second
)

// Operation is one change or read of an operator, as the check of histories
// needs it.
type Operation struct {
	Client       int
	Team         sardine.Team
	Read         bool
	Base         sardine.Version
	Call         sardine.Millis // time of the first send, on the driver's clock
	Return       sardine.Millis // 0 without a reply
	Accepted     bool
	Version      sardine.Version // accepted, read, or current after a lost race
	ID           string          // change id of the operation
	SeenChangeID string          // id of the change that made Version, for reads and lost races
	Resends      int
}

// operator sends one operation after the other. It resends each under the same
// change id until it gets a reply.
type operator struct {
	id           sardine.NodeID
	client       int
	w            *World
	now          sardine.Millis
	incarnation  int
	known        map[sardine.Team]sardine.Version
	leader       sardine.NodeID
	current      *Operation
	command      state.ChangeSettings
	call         uint64
	next         sardine.Millis // when to send
	sequence     int
	lastAsked    sardine.NodeID // control node of the last send
	unresponsive sardine.NodeID // did not reply to the last send; avoided
}

// Start starts a new incarnation.
func (o *operator) Start(now sardine.Millis) {
	o.now, o.next = now, now+sardine.Millis(o.w.random().IntN(500))
	if o.w.options.Manual {
		o.next = o.now + idleInterval
	}
	o.incarnation++
	o.current = nil
	if o.known == nil {
		o.known = make(map[sardine.Team]sardine.Version)
	}
}

// Crash ends the incarnation. Its operation stays without a reply.
func (o *operator) Crash() {
	o.current = nil
}

// Wake returns when Tick is due.
func (o *operator) Wake() sardine.Millis {
	return o.next
}

// Tick sends or resends an operation.
func (o *operator) Tick(now sardine.Millis) {
	o.now = now
	if now < o.next {
		return
	}
	if o.w.options.Manual && o.current == nil {
		o.next = now + idleInterval
		return
	}
	if o.current == nil {
		o.begin()
	} else {
		o.current.Resends++
		o.unresponsive, o.leader = o.lastAsked, ""
	}
	o.send()
}

// begin draws the next operation.
func (o *operator) begin() {
	r := o.w.random()
	name := o.w.teams[r.IntN(len(o.w.teams))]
	o.sequence++
	o.current = &Operation{Client: o.client, Team: name, Read: r.IntN(4) == 0, Base: o.known[name], Call: o.w.driver.Now()}
	o.w.History = append(o.w.History, o.current)
	if o.w.options.Manual {
		o.current.Read = false
	}
	policy := "refuse_requests"
	if o.w.options.Policy != "" {
		policy = o.w.options.Policy
	}
	if o.w.options.HoldChanges && r.IntN(3) == 0 {
		policy = "hold_changes"
	}
	o.current.ID = fmt.Sprintf("%s-%d-%d", o.id, o.incarnation, o.sequence)
	o.command = state.ChangeSettings{
		Team:     name,
		Base:     o.current.Base,
		ChangeID: o.current.ID,
		Document: fmt.Sprintf("cut_policy = %q\n# %s\n", policy, strings.Repeat("x", o.w.options.Filler)),
		Author:   string(o.id),
	}
}

// send sends the current operation to the leader, or to a random control node
// if the leader is not known.
func (o *operator) send() {
	o.next = o.now + resendInterval
	if o.w.options.Manual {
		o.next = o.now + resendInterval/4
	}
	to := o.leader
	if to == "" {
		to = o.w.controlIDs[o.w.random().IntN(len(o.w.controlIDs))]
	}
	if to == o.unresponsive {
		to = o.w.controlIDs[o.w.random().IntN(len(o.w.controlIDs))]
	}
	o.lastAsked = to
	o.call++
	m := Message{Kind: kindChange, Call: o.call, Command: o.command}
	if o.current.Read {
		m.Kind = kindRead
	}
	o.w.send(o.id, to, m)
}

// Receive processes the reply to any send of the current operation.
func (o *operator) Receive(now sardine.Millis, from sardine.NodeID, m Message) {
	o.now = now
	if m.Kind != kindResult || o.current == nil || m.Call > o.call || m.Call <= o.call-uint64(o.current.Resends)-1 {
		return
	}
	switch m.Result.Code {
	case codes.OK:
		o.leader = from
		o.finish(m.Result, !o.current.Read)
	case codes.VersionRace:
		o.finish(m.Result, false)
	case codes.NotLeader:
		o.leader = m.Result.Leader
		o.next = now + 20
	default:
		o.w.addViolation("operator %s received unexpected code %d", o.id, m.Result.Code)
	}
}

func (o *operator) finish(r result, accepted bool) {
	o.current.Return = o.w.driver.Now()
	o.current.Accepted = accepted
	o.current.Version, o.current.SeenChangeID = r.Version, r.Change
	o.known[o.current.Team] = r.Version
	o.current = nil
	o.next = o.now + sardine.Millis(o.w.random().IntN(400))
	if o.w.options.Manual {
		o.next = o.now + idleInterval
	}
}
