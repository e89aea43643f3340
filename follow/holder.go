package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
)

// maxPending bounds the leases that wait for the node to catch up.
const maxPending = 8

// Lease is what an entry node may serve until when, on its own clock. The shell
// publishes it together with the settings that it was computed from, and a
// request that was admitted reads both at once.
type Lease struct {
	serves sardine.Millis
	holds  sardine.Millis
}

// Serving reports whether requests of every team may be admitted at the instant.
func (l Lease) Serving(now sardine.Millis) bool {
	return now < l.serves
}

// ServingTeam reports whether requests of a team with the cut policy may be
// admitted at the instant.
func (l Lease) ServingTeam(now sardine.Millis, policy sardine.CutPolicy) bool {
	return now < l.serves || (policy == sardine.CutHoldChanges && now < l.holds)
}

// Ends returns the instants at which the serving and the holding lease lapse.
func (l Lease) Ends() (serves, holds sardine.Millis) {
	return l.serves, l.holds
}

// holder keeps a node's lease and the grants that wait for an index.
type holder struct {
	lease   Lease
	pending []pendingLease
	defect  Defect
}

type pendingLease struct {
	lease Lease
	floor uint64
}

// grant takes in a grant for a request that was sent at an instant.
func (h *holder) grant(sent sardine.Millis, g lease.Grant, published uint64) {
	next := pendingLease{lease: Lease{serves: sent + g.Serving}, floor: g.Floor}
	if g.Holding > 0 {
		next.lease.holds = sent + g.Holding
	}
	h.pending = append(h.pending, next)
	if len(h.pending) > maxPending {
		h.pending = h.pending[1:]
	}
	h.reach(published)
}

// reach makes the grants count whose floor the node has caught up with.
func (h *holder) reach(published uint64) {
	kept := h.pending[:0]
	for _, p := range h.pending {
		if p.floor > published && h.defect != DefectIgnoreFloor {
			kept = append(kept, p)
			continue
		}
		h.lease.serves = max(h.lease.serves, p.lease.serves)
		h.lease.holds = max(h.lease.holds, p.lease.holds)
	}
	h.pending = kept
}

func (h *holder) drop() {
	h.lease = Lease{}
	h.pending = nil
}
