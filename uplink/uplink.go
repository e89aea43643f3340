// Package uplink detects that an entry node has lost its links to all targets. Detector
// does no I/O and reads no clock: the caller passes the time and calls it from one
// goroutine at a time.
package uplink

import (
	sardine "sardineswitch.dev/sardine"
)

// Limits hold the times and counts by which a Detector decides.
type Limits struct {
	// Fresh is how recent an answer must be to show that the links work although
	// one target fails.
	Fresh sardine.Millis
	// Silence is how long all targets must be silent to cause a suspicion.
	Silence sardine.Millis
	// FailureAge is how long a failed exchange counts.
	FailureAge sardine.Millis
	// Pause is the time between two rounds of probes.
	Pause sardine.Millis
	// SilencePause is the time after a round that connected in which silence causes no other.
	SilencePause sardine.Millis
	// Confirm is the time between two rounds that confirm one another.
	Confirm sardine.Millis
	// RoundTime is the longest duration of a round. One that takes longer was
	// delayed by the node itself and shows nothing.
	RoundTime sardine.Millis
	// Targets is the least number of failing or probed targets from which the
	// Detector concludes that the fault is the node's.
	Targets int
	// Rounds is the number of consecutive rounds that end an isolation.
	Rounds int
	// MaxRounds is the number of them on a flapping link.
	MaxRounds int
	// FlapTime is the time after an isolation within which another one doubles
	// the rounds that end it.
	FlapTime sardine.Millis
}

// DefaultLimits returns the limits of an entry node. A reachable target accepts a
// connection within some milliseconds.
func DefaultLimits() Limits {
	return Limits{
		Fresh: 150, Silence: 250, FailureAge: sardine.Second, Pause: 500, SilencePause: 2 * sardine.Second, Confirm: 200,
		RoundTime: 450, Targets: 3, Rounds: 2, MaxRounds: 16, FlapTime: 10 * sardine.Second,
	}
}

// State is what a Detector has concluded.
type State int

// The states.
const (
	Connected State = iota
	Suspected       // a round of probes is due or under way
	Isolated        // no target can be reached
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"connected", "suspected", "isolated"}[s]
}

// Change is a change of a Detector's state that the caller acts on.
type Change int

// The changes.
const (
	NoChange    Change = iota
	Cleared            // the suspicion was wrong
	Lost               // the node is isolated now
	Reconnected        // the node is no longer isolated
)

// Round is the result of a round of probes.
type Round struct {
	Targets int // probed
	Reached int // of them, those that accepted a connection
	Refused int // of them, those that refused it
}

// maxLookBack bounds the time before a suspicion to which it extends.
const maxLookBack = 2 * sardine.Second

// Detector decides whether an entry node is isolated.
type Detector struct {
	limits Limits
	state  State
	since  sardine.Millis // start of the suspicion or isolation

	failures    map[string]sardine.Millis // recent ones by target
	silent      int                       // targets that have been silent for limits.Silence
	progressAt  sardine.Millis            // last part of an answer
	reachedAt   sardine.Millis            // last probe that connected, or failure that was found to be the target's
	verifyAt    sardine.Millis            // last call of Verify
	isolatedAt  sardine.Millis
	reconnectAt sardine.Millis // last end of an isolation, 0 for none
	roundAt     sardine.Millis // start of the running round, 0 for none
	nextAt      sardine.Millis // earliest start of the next round
	refused     bool           // by all targets of the previous round of this suspicion or isolation
	good        int            // consecutive rounds that connected while isolated
	needed      int            // of them, to end the isolation
	rounds      int            // since the start of the suspicion
	probes      int            // since the start of the suspicion
}

// New returns a detector of a connected node.
func New(l Limits) *Detector {
	return &Detector{limits: l, failures: make(map[string]sardine.Millis)}
}

// State returns the present state.
func (d *Detector) State() State {
	return d.state
}

// Since returns the time from which on failures may be due to the node's own links, 0 while
// it is connected.
func (d *Detector) Since() sardine.Millis {
	return d.since
}

// Duration returns how long the present isolation lasts, or 0.
func (d *Detector) Duration(now sardine.Millis) sardine.Millis {
	if d.state != Isolated {
		return 0
	}
	return now - d.isolatedAt
}

// Rounds returns the numbers of rounds and probes of the suspicion or isolation, or of
// the last one.
func (d *Detector) Rounds() (rounds, probes int) {
	return d.rounds, d.probes
}

// Refused reports whether all targets of the previous round of the present suspicion or
// isolation refused a connection. They may have failed themselves, so the next round should
// cover more of them.
func (d *Detector) Refused() bool {
	return d.state != Connected && d.refused
}

// Failed records that a target accepted no connection, that an exchange broke off or
// that the target has stalled.
func (d *Detector) Failed(now sardine.Millis, target string) {
	if d.state == Isolated {
		return
	}
	if _, known := d.failures[target]; !known {
		d.failures[target] = now
	}
	d.assess(now)
}

// Progressed records the arrival of a part of an answer.
func (d *Detector) Progressed(at sardine.Millis) {
	d.progressAt = max(d.progressAt, at)
}

// Silent records how many targets with exchanges in flight have been silent for
// Limits.Silence.
func (d *Detector) Silent(now sardine.Millis, targets int) {
	d.silent = targets
	d.assess(now)
}

// Verify asks for a round that starts now, unless the node is isolated.
func (d *Detector) Verify(now sardine.Millis) {
	if d.state == Isolated {
		return
	}
	d.verifyAt = now
	d.nextAt = min(d.nextAt, now)
	d.suspect(now)
}

// assess begins a suspicion if there is reason for one.
func (d *Detector) assess(now sardine.Millis) {
	for target, at := range d.failures {
		if now-at >= d.limits.FailureAge {
			delete(d.failures, target)
		}
	}
	heardAt := max(d.progressAt, d.reachedAt)
	failed := len(d.failures) > 1 || len(d.failures) == 1 && now-d.progressAt >= d.limits.Fresh
	silent := d.silent > 1 && now-heardAt >= d.limits.Silence && now-d.reachedAt >= d.limits.SilencePause
	if failed || silent {
		d.suspect(now)
	}
}

func (d *Detector) suspect(now sardine.Millis) {
	if d.state != Connected || now < d.nextAt {
		return
	}
	d.state, d.refused, d.rounds, d.probes = Suspected, false, 0, 0
	d.since = now
	if heardAt := max(d.progressAt, d.reachedAt); heardAt > 0 {
		d.since = min(d.since, heardAt)
	}
	for _, at := range d.failures {
		d.since = min(d.since, at)
	}
	d.since = max(d.since, now-maxLookBack)
}

// Next reports whether the caller has to perform a round of probes now. It must pass the
// result to Ended.
func (d *Detector) Next(now sardine.Millis) bool {
	if d.state == Connected {
		d.assess(now)
	}
	if d.state == Connected || d.roundAt > 0 || now < d.nextAt {
		return false
	}
	d.roundAt = now
	return true
}

// Ended takes the result of the running round.
func (d *Detector) Ended(now sardine.Millis, r Round) Change {
	started := d.roundAt
	d.roundAt = 0
	d.rounds++
	d.probes += r.Targets
	answered := d.progressAt >= started
	switch {
	case r.Reached > 0:
		return d.reached(now, started)
	case r.Targets > 0 && now-started > d.limits.RoundTime:
		d.nextAt = now
		return NoChange
	case d.state == Isolated && r.Targets > 0:
		d.wait(now, r)
		return NoChange
	case r.Targets < d.limits.Targets, answered && r.Refused < r.Targets:
		return d.connect(now)
	case r.Refused == r.Targets && !d.refused:
		d.wait(now, r)
		return NoChange
	default:
		return d.isolate(now, r)
	}
}

// wait sets the time of the next round after one that did not connect. A round that was
// refused soon shows the first target that is back after all have failed.
func (d *Detector) wait(now sardine.Millis, r Round) {
	d.good, d.refused = 0, r.Refused == r.Targets
	d.nextAt = now + d.limits.Pause
	if d.refused {
		d.nextAt = now + d.limits.Confirm
	}
}

// reached takes a round that connected.
func (d *Detector) reached(now, started sardine.Millis) Change {
	d.reachedAt = now
	if d.state != Isolated {
		if d.verifyAt > started {
			d.nextAt = now
			return NoChange
		}
		return d.connect(now)
	}
	d.good++
	if d.good < d.needed && !d.refused {
		d.nextAt = now + d.limits.Confirm
		return NoChange
	}
	return d.connect(now)
}

// connect ends a suspicion or an isolation.
func (d *Detector) connect(now sardine.Millis) Change {
	change := Cleared
	if d.state == Isolated {
		change, d.reconnectAt = Reconnected, now
	}
	d.state, d.since = Connected, 0
	d.reachedAt = now // without a conclusion the next suspicion needs new evidence, too
	d.nextAt = now + d.limits.Pause
	clear(d.failures)
	return change
}

func (d *Detector) isolate(now sardine.Millis, r Round) Change {
	if d.reconnectAt > 0 && now-d.reconnectAt < d.limits.FlapTime {
		d.needed = min(2*d.needed, d.limits.MaxRounds)
	} else {
		d.needed = d.limits.Rounds
	}
	d.state, d.isolatedAt = Isolated, now
	d.wait(now, r)
	clear(d.failures)
	return Lost
}
