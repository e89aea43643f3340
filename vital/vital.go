// Package vital detects from the requests in flight which targets have stalled.
// Tracker does no I/O and reads no clock: the caller passes the time and calls it
// from one goroutine at a time.
package vital

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Limits hold the least times after which a silent target is suspected to have
// stalled. Slower engines have longer ones, see SilenceLimits.
type Limits struct {
	// Running applies to an engine with a stream in progress.
	Running sardine.Millis
	// Waiting applies to an engine whose requests all wait for their first
	// event. They may be queued behind other requests.
	Waiting sardine.Millis
	// Plain applies to a plain target with a request in flight.
	Plain sardine.Millis
	// SuspectFor is how long a suspect gets no requests before it is tried again.
	SuspectFor sardine.Millis
}

// DefaultLimits returns limits that a healthy target on a healthy network meets
// even if its work explains no silence: a lost packet is retransmitted after
// some 200 ms.
func DefaultLimits() Limits {
	return Limits{Running: 500, Waiting: 1000, Plain: 500, SuspectFor: 2 * sardine.Second}
}

// record tracks the requests in flight at one target.
type record struct {
	silence      *SilenceLimits
	inFlight     int
	suspended    int            // of them, those on which the node does not wait for the target
	streams      int            // of the others, those that have had an event
	silentSince  sardine.Millis // start of the current silence
	progressAt   sardine.Millis // last progress, 0 for none
	suspectUntil sardine.Millis // 0 if not suspected
	reported     bool           // Stalled has returned the current silence
}

// Tracker tracks the requests in flight of one entry node.
type Tracker struct {
	limits       Limits
	targets      map[route.Ref]*record
	byDeployment map[sardine.ServiceName]*SilenceLimits
	unlearning   bool // silences do not change the limits
}

// New returns a tracker without targets.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, targets: make(map[route.Ref]*record), byDeployment: make(map[sardine.ServiceName]*SilenceLimits)}
}

// SilenceLimits returns the silence limits of a deployment's targets.
func (t *Tracker) SilenceLimits(name sardine.ServiceName) *SilenceLimits {
	k := t.byDeployment[name]
	if k == nil {
		k = newSilenceLimits(t.limits)
		t.byDeployment[name] = k
	}
	return k
}

// SetLearning sets whether silences change the limits. Those that the targets don't cause
// must not.
func (t *Tracker) SetLearning(on bool) {
	t.unlearning = !on
}

func (t *Tracker) learn(q *quantile, silence sardine.Millis) {
	if !t.unlearning {
		q.observe(silence)
	}
}

// TrackedRequest is one request in flight. Pass it to Progress and End.
type TrackedRequest struct {
	ref       route.Ref
	at        sardine.Millis // of the last progress, or of the start
	stream    bool           // has had an event
	suspended bool
}

// waiting returns the number of requests on which the node waits for the target.
func (r *record) waiting() int {
	return r.inFlight - r.suspended
}

// startWaiting records that the node waits for the target on one more request, which
// starts a silence if it is the only one.
func (r *record) startWaiting(now sardine.Millis) {
	if r.waiting() == 0 {
		r.silentSince = now
		r.reported = false
	}
}

// Begin records a request that is sent to a target of a deployment.
func (t *Tracker) Begin(now sardine.Millis, ref route.Ref, service sardine.ServiceName) *TrackedRequest {
	r := t.targets[ref]
	if r == nil {
		r = &record{silence: t.SilenceLimits(service)}
		t.targets[ref] = r
	}
	r.startWaiting(now)
	r.inFlight++
	return &TrackedRequest{ref: ref, at: now}
}

// Progress records the response headers or, with stream, an event that advances
// the response. Bytes that don't advance it are not progress. On a suspended request it
// records only that the target responds.
func (t *Tracker) Progress(now sardine.Millis, f *TrackedRequest, stream bool) {
	r := t.targets[f.ref]
	if r == nil {
		return
	}
	switch {
	case f.suspended:
	case stream && f.stream:
		t.learn(&r.silence.gaps, now-f.at)
	case stream:
		f.stream = true
		r.streams++
		t.learn(&r.silence.firsts, now-f.at)
	case f.ref.Group == "":
		t.learn(&r.silence.answers, now-f.at)
	}
	if stream || f.ref.Group == "" {
		f.at = now
	}
	r.silentSince = now
	r.progressAt = now
	r.suspectUntil = 0
	r.reported = false
}

// End records that a request is no longer in flight.
func (t *Tracker) End(f *TrackedRequest) {
	r := t.targets[f.ref]
	if r == nil {
		return
	}
	r.inFlight--
	switch {
	case f.suspended:
		r.suspended--
	case f.stream:
		r.streams--
	}
}

// Suspend records that the node does not wait for the target on a request: the rest of
// its answer may take any time, or its caller does not read what has arrived.
func (t *Tracker) Suspend(f *TrackedRequest) {
	r := t.targets[f.ref]
	if r == nil || f.suspended {
		return
	}
	f.suspended = true
	r.suspended++
	if f.stream {
		r.streams--
	}
}

// Resume ends a Suspend.
func (t *Tracker) Resume(now sardine.Millis, f *TrackedRequest) {
	r := t.targets[f.ref]
	if r == nil || !f.suspended {
		return
	}
	r.startWaiting(now)
	f.suspended = false
	r.suspended--
	if f.stream {
		r.streams++
		f.at = now
	}
}

// Unreachable records that a target accepted no connection.
func (t *Tracker) Unreachable(now sardine.Millis, ref route.Ref) {
	if r := t.targets[ref]; r != nil {
		r.suspectUntil = now + t.limits.SuspectFor
	}
}

// Stalled returns the targets whose silence exceeded its limit since the last
// call, and marks them as suspects.
func (t *Tracker) Stalled(now sardine.Millis) []route.Ref {
	var stalled []route.Ref
	for ref, r := range t.targets {
		switch {
		case r.inFlight == 0 && r.suspectUntil <= now && r.progressAt+idleRetention <= now:
			delete(t.targets, ref)
		case r.waiting() > 0 && !r.reported && now-r.silentSince >= t.silenceLimit(ref, r):
			stalled = append(stalled, ref)
		}
	}
	for _, ref := range stalled {
		r := t.targets[ref]
		r.reported = true
		r.suspectUntil = now + t.limits.SuspectFor
		if !t.unlearning {
			r.silence.overrun(r, now-r.silentSince)
		}
	}
	slices.SortFunc(stalled, compareRefs)
	return stalled
}

// idleRetention is how long the last progress of a target without requests is
// kept.
const idleRetention = 5 * sardine.Second

func (t *Tracker) silenceLimit(ref route.Ref, r *record) sardine.Millis {
	switch {
	case ref.Group == "":
		return r.silence.answerLimit()
	case r.streams > 0:
		return r.silence.streamLimit()
	default:
		return r.silence.firstEventLimit()
	}
}

// MaxEventGap returns the longest pause between two events of a stream that the work of
// a deployment explains.
func (t *Tracker) MaxEventGap(service sardine.ServiceName) sardine.Millis {
	return t.SilenceLimits(service).streamLimit()
}

// Suspects returns the targets that should get no requests now.
func (t *Tracker) Suspects(now sardine.Millis) []route.Ref {
	var suspects []route.Ref
	for ref, r := range t.targets {
		if r.suspectUntil > now {
			suspects = append(suspects, ref)
		}
	}
	slices.SortFunc(suspects, compareRefs)
	return suspects
}

// Silent returns the number of targets with requests in flight that have been silent for
// the given time.
func (t *Tracker) Silent(now, limit sardine.Millis) int {
	count := 0
	for _, r := range t.targets {
		if r.waiting() > 0 && now-r.silentSince >= limit {
			count++
		}
	}
	return count
}

// Forgive ends the suspicions of all targets and the present silences, which were not due
// to the targets.
func (t *Tracker) Forgive(now sardine.Millis) {
	for _, r := range t.targets {
		r.suspectUntil = 0
		r.silentSince = now
		r.reported = false
	}
}

// Observation is what one entry node has observed of a target.
type Observation struct {
	Ref         route.Ref
	InFlight    int
	ProgressAge sardine.Millis // age of the last progress, negative for none
	Stalled     bool
}

// Observations returns the observations of all targets, sorted.
func (t *Tracker) Observations(now sardine.Millis) []Observation {
	observations := make([]Observation, 0, len(t.targets))
	for ref, r := range t.targets {
		s := Observation{Ref: ref, InFlight: r.inFlight, ProgressAge: -1, Stalled: r.suspectUntil > now}
		if r.progressAt > 0 {
			s.ProgressAge = now - r.progressAt
		}
		observations = append(observations, s)
	}
	slices.SortFunc(observations, func(a, b Observation) int { return compareRefs(a.Ref, b.Ref) })
	return observations
}

func compareRefs(a, b route.Ref) int {
	return strings.Compare(a.String(), b.String())
}
