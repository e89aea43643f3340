// Package vital tells from the requests in flight which targets stand still.
// Tracker is a pure core: the caller gives it the time and calls it from one
// goroutine at a time.
package vital

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Limits hold the least times after which a silent target is suspected. Those of
// slower engines are longer, see Kind.
type Limits struct {
	// Running is for an engine that has a stream under way.
	Running sardine.Millis
	// Waiting is for an engine whose requests all wait for their first event, which
	// may have others before them.
	Waiting sardine.Millis
	// Plain is for a plain target with a request under way.
	Plain sardine.Millis
	// Rest is how long a suspect gets no request before it is tried again.
	Rest sardine.Millis
}

// DefaultLimits returns limits that a sound target on a sound network keeps, if
// its work explains no silence at all: a delayed packet is sent again after some
// 200 ms.
func DefaultLimits() Limits {
	return Limits{Running: 500, Waiting: 1000, Plain: 500, Rest: 2 * sardine.Second}
}

// record is one target's requests in flight.
type record struct {
	kind     *Kind
	flights  int
	streams  int            // of them, those with an event
	quiet    sardine.Millis // since when nothing was heard of the target
	progress sardine.Millis // last sign of life, 0 for none
	until    sardine.Millis // suspected until then, 0 if not
	missed   bool           // the silence has been told
}

// Tracker follows the requests in flight of one entry node.
type Tracker struct {
	limits  Limits
	targets map[route.Ref]*record
	kinds   map[sardine.ServiceName]*Kind
}

// New returns a tracker that knows no target.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, targets: make(map[route.Ref]*record), kinds: make(map[sardine.ServiceName]*Kind)}
}

// Kind returns what is known of the targets of a deployment.
func (t *Tracker) Kind(name sardine.ServiceName) *Kind {
	k := t.kinds[name]
	if k == nil {
		k = newKind(t.limits)
		t.kinds[name] = k
	}
	return k
}

// Flight is one request in flight. Pass it to Progress and End.
type Flight struct {
	ref    route.Ref
	at     sardine.Millis // of the last sign, or of the start
	stream bool           // has had an event
}

// Begin notes a request that is sent to a target of a deployment.
func (t *Tracker) Begin(now sardine.Millis, ref route.Ref, service sardine.ServiceName) *Flight {
	r := t.targets[ref]
	if r == nil {
		r = &record{kind: t.Kind(service)}
		t.targets[ref] = r
	}
	if r.flights == 0 {
		r.quiet = now
		r.missed = false
	}
	r.flights++
	return &Flight{ref: ref, at: now}
}

// Progress notes the head of an answer, or with stream an event of it that brings
// it on. Bytes that don't are no sign of progress.
func (t *Tracker) Progress(now sardine.Millis, f *Flight, stream bool) {
	r := t.targets[f.ref]
	if r == nil {
		return
	}
	switch {
	case stream && f.stream:
		r.kind.gaps.observe(now - f.at)
	case stream:
		f.stream = true
		r.streams++
		r.kind.firsts.observe(now - f.at)
	case f.ref.Group == "":
		r.kind.answers.observe(now - f.at)
	}
	if stream || f.ref.Group == "" {
		f.at = now
	}
	r.quiet = now
	r.progress = now
	r.until = 0
	r.missed = false
}

// End notes that a request is not in flight any more.
func (t *Tracker) End(f *Flight) {
	r := t.targets[f.ref]
	if r == nil {
		return
	}
	r.flights--
	if f.stream {
		r.streams--
	}
}

// Unreachable notes that a target took no connection.
func (t *Tracker) Unreachable(now sardine.Millis, ref route.Ref) {
	if r := t.targets[ref]; r != nil {
		r.until = now + t.limits.Rest
	}
}

// Stalled returns the targets that have been silent for too long since the last
// call, and suspects them.
func (t *Tracker) Stalled(now sardine.Millis) []route.Ref {
	var stalled []route.Ref
	for ref, r := range t.targets {
		switch {
		case r.flights == 0 && r.until <= now && r.progress+keepFor <= now:
			delete(t.targets, ref)
		case r.flights > 0 && !r.missed && now-r.quiet >= t.patience(ref, r):
			stalled = append(stalled, ref)
		}
	}
	for _, ref := range stalled {
		r := t.targets[ref]
		r.missed = true
		r.until = now + t.limits.Rest
		r.kind.overrun(r, now-r.quiet)
	}
	slices.SortFunc(stalled, compareRefs)
	return stalled
}

// keepFor is how long an idle target's last sign of life is remembered.
const keepFor = 5 * sardine.Second

func (t *Tracker) patience(ref route.Ref, r *record) sardine.Millis {
	switch {
	case ref.Group == "":
		return r.kind.answer()
	case r.streams > 0:
		return r.kind.gap()
	default:
		return r.kind.first()
	}
}

// Gap returns the longest pause between two events of one stream of a deployment
// that its work explains.
func (t *Tracker) Gap(service sardine.ServiceName) sardine.Millis {
	return t.Kind(service).gap()
}

// Suspects returns the targets that should get no request now.
func (t *Tracker) Suspects(now sardine.Millis) []route.Ref {
	var suspects []route.Ref
	for ref, r := range t.targets {
		if r.until > now {
			suspects = append(suspects, ref)
		}
	}
	slices.SortFunc(suspects, compareRefs)
	return suspects
}

// Sign is what one entry node knows of a target's life.
type Sign struct {
	Ref     route.Ref
	Flights int
	Alive   sardine.Millis // age of the last sign of life, negative for none
	Stalled bool
}

// Signs returns what there is to tell of all targets, sorted.
func (t *Tracker) Signs(now sardine.Millis) []Sign {
	signs := make([]Sign, 0, len(t.targets))
	for ref, r := range t.targets {
		s := Sign{Ref: ref, Flights: r.flights, Alive: -1, Stalled: r.until > now}
		if r.progress > 0 {
			s.Alive = now - r.progress
		}
		signs = append(signs, s)
	}
	slices.SortFunc(signs, func(a, b Sign) int { return compareRefs(a.Ref, b.Ref) })
	return signs
}

func compareRefs(a, b route.Ref) int {
	return strings.Compare(a.String(), b.String())
}
