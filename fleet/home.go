package fleet

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Default times of Home.
const (
	// DefaultLease is how long an announcement is valid.
	DefaultLease = 3 * sardine.Second
	// DefaultLoadInterval is the least time between two reports of one target's
	// load.
	DefaultLoadInterval = 2 * sardine.Second
)

// HomeOption configures a Home.
type HomeOption func(*Home)

// WithLease sets how long an announcement is valid.
func WithLease(d sardine.Millis) HomeOption {
	return func(h *Home) { h.lease = d }
}

// WithLoadInterval sets the least time between two reports of one target's load.
func WithLoadInterval(d sardine.Millis) HomeOption {
	return func(h *Home) { h.loadEvery = d }
}

type homeEntry struct {
	latest         sardine.Announcement
	lastAnnounced  sardine.Millis
	changed        bool           // properties changed since the last acknowledged report
	sent           bool           // the latest properties are in the last report
	reportedLoad   sardine.Load   // as last reported
	loadReportedAt sardine.Millis // time of that report
}

type homeLoss struct {
	ref  Ref
	sent bool // in the last report
}

// Home is the table of the targets that announce themselves to one entry node.
type Home struct {
	node        sardine.NodeID
	incarnation sardine.Incarnation
	lease       sardine.Millis
	loadEvery   sardine.Millis
	targets     map[sardine.VMID]*homeEntry
	lost        map[sardine.VMID]homeLoss
	sequence    uint64
	full        bool // the next report must be full
	fullSent    bool // the last report was full
}

// NewHome returns the empty table of an entry node's incarnation.
func NewHome(node sardine.NodeID, incarnation sardine.Incarnation, options ...HomeOption) *Home {
	h := &Home{
		node:        node,
		incarnation: incarnation,
		lease:       DefaultLease,
		loadEvery:   DefaultLoadInterval,
		targets:     make(map[sardine.VMID]*homeEntry),
		lost:        make(map[sardine.VMID]homeLoss),
		full:        true,
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// ID returns the node and its incarnation.
func (h *Home) ID() (sardine.NodeID, sardine.Incarnation) {
	return h.node, h.incarnation
}

// Announce records a target's announcement. It returns codes.Superseded if a
// later incarnation or announcement of the target is known.
func (h *Home) Announce(now sardine.Millis, a sardine.Announcement) error {
	if a.VM == "" || a.Incarnation == 0 {
		return codes.New(codes.BadRequest, "an announcement needs a VM and an incarnation")
	}
	e := h.targets[a.VM]
	if e == nil {
		e = &homeEntry{changed: true}
		h.targets[a.VM] = e
		delete(h.lost, a.VM)
	} else if a.Incarnation < e.latest.Incarnation || superseded(e.latest, a) {
		if sameFacts(e.latest, a) {
			e.lastAnnounced = now // a wrong, too high serial must not make a live target count as lost
		}
		return codes.New(codes.Superseded, "target %s has announced incarnation %d, this is %d", a.VM, e.latest.Incarnation, a.Incarnation)
	} else if !sameFacts(e.latest, a) {
		e.changed = true
		e.sent = false
	}
	a.Loadable = slices.Clone(a.Loadable)
	a.Staged = slices.Clone(a.Staged)
	e.latest = a
	e.lastAnnounced = now
	return nil
}

// superseded reports whether a later announcement of the same incarnation is
// known.
func superseded(latest, a sardine.Announcement) bool {
	return a.Incarnation == latest.Incarnation && a.Sequence != 0 && a.Sequence < latest.Sequence
}

// Expire drops the targets whose lease has expired and returns them.
func (h *Home) Expire(now sardine.Millis) []Ref {
	var expired []Ref
	for vm, e := range h.targets {
		if e.lastAnnounced+h.lease > now {
			continue
		}
		ref := Ref{VM: vm, Incarnation: e.latest.Incarnation}
		expired = append(expired, ref)
		delete(h.targets, vm)
		h.lost[vm] = homeLoss{ref: ref}
	}
	slices.SortFunc(expired, compareRefs)
	return expired
}

// Targets returns all targets within their lease, sorted by VM.
func (h *Home) Targets(now sardine.Millis) []Status {
	all := make([]Status, 0, len(h.targets))
	for _, e := range h.targets {
		if e.lastAnnounced+h.lease > now {
			all = append(all, e.status(now))
		}
	}
	slices.SortFunc(all, compareStatuses)
	return all
}

// Target returns one target if it is within its lease.
func (h *Home) Target(now sardine.Millis, vm sardine.VMID) (Status, bool) {
	e := h.targets[vm]
	if e == nil || e.lastAnnounced+h.lease <= now {
		return Status{}, false
	}
	return e.status(now), true
}

func (e *homeEntry) status(now sardine.Millis) Status {
	return Status{Announcement: e.latest, Age: now - e.lastAnnounced}
}

// Overdue returns the targets whose last announcement is older than a time, in
// no particular order.
func (h *Home) Overdue(now, after sardine.Millis) []Ref {
	var late []Ref
	for vm, e := range h.targets {
		if now-e.lastAnnounced >= after {
			late = append(late, Ref{VM: vm, Incarnation: e.latest.Incarnation})
		}
	}
	return late
}

// SetIncarnation starts a later incarnation of the home, which reports in full again.
func (h *Home) SetIncarnation(i sardine.Incarnation) {
	h.incarnation = i
	h.sequence = 0
	h.full = true
	h.fullSent = false
}

// HasChanges reports whether a report should be sent at once.
func (h *Home) HasChanges(now sardine.Millis) bool {
	if h.full && !h.fullSent || len(h.lost) > 0 {
		return true
	}
	for _, e := range h.targets {
		if h.due(now, e) {
			return true
		}
	}
	return false
}

func (h *Home) due(now sardine.Millis, e *homeEntry) bool {
	if e.changed {
		return true
	}
	return !sameLoad(e.reportedLoad, e.latest.Load) && e.loadReportedAt+h.loadEvery <= now
}

// Report returns what changed since the last acknowledged report, and whether
// there are any changes. Until Acknowledge is called with its sequence number, the
// next report repeats the changes.
func (h *Home) Report(now sardine.Millis) (Report, bool) {
	r := Report{Home: h.node, Incarnation: h.incarnation, Full: h.full}
	for _, e := range h.targets {
		if !h.full && !h.due(now, e) {
			continue
		}
		e.changed = true // until acknowledged
		e.sent = true
		e.reportedLoad = e.latest.Load
		e.loadReportedAt = now
		r.Statuses = append(r.Statuses, e.status(now))
	}
	for vm, l := range h.lost {
		l.sent = true
		h.lost[vm] = l
		r.Lost = append(r.Lost, l.ref)
	}
	if !r.Full && len(r.Statuses)+len(r.Lost) == 0 {
		return Report{}, false
	}
	h.sequence++
	h.fullSent = r.Full
	r.Sequence = h.sequence
	slices.SortFunc(r.Statuses, compareStatuses)
	slices.SortFunc(r.Lost, compareRefs)
	return r, true
}

// Acknowledge processes the leader's answer to a report or to a request without one.
// Only the answer to the last report clears its changes, as each report repeats
// those of the one before.
func (h *Home) Acknowledge(a Ack) {
	if a.Sequence != 0 && a.Sequence == h.sequence {
		h.clearSent()
	}
	if a.WantFull {
		h.full = true
		h.fullSent = false
	}
}

func (h *Home) clearSent() {
	for _, e := range h.targets {
		if e.sent {
			e.changed = false
		}
	}
	for vm, l := range h.lost {
		if l.sent {
			delete(h.lost, vm)
		}
	}
	if h.fullSent {
		h.full = false
	}
}

func compareRefs(a, b Ref) int {
	return strings.Compare(string(a.VM), string(b.VM))
}

func compareStatuses(a, b Status) int {
	return strings.Compare(string(a.VM), string(b.VM))
}
