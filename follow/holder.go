package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
)

// maxPending bounds the leases that wait for the node to catch up.
const maxPending = 8

// Lease holds the instants until which an entry node may serve, on its own clock.
// It is published together with the settings that it was computed from, so that
// an admitted request reads both at once.
type Lease struct {
	servingEnd sardine.Millis
	holdingEnd sardine.Millis
}

// Serving reports whether requests of every team may be admitted at the instant.
func (l Lease) Serving(now sardine.Millis) bool {
	return now < l.servingEnd
}

// ServingTeam reports whether requests of a team with the cut policy may be
// admitted at the instant.
func (l Lease) ServingTeam(now sardine.Millis, policy sardine.CutPolicy) bool {
	return now < l.servingEnd || (policy == sardine.CutHoldChanges && now < l.holdingEnd)
}

// Ends returns the instants at which the serving and the holding lease end.
func (l Lease) Ends() (servingEnd, holdingEnd sardine.Millis) {
	return l.servingEnd, l.holdingEnd
}

// leaseHolder keeps a node's lease and the grants whose floor the node has not
// reached.
type leaseHolder struct {
	lease   Lease
	pending []pendingLease
	defect  Defect
}

type pendingLease struct {
	lease Lease
	floor uint64
}

// grant adds a lease for a request that was sent at the instant sent.
func (h *leaseHolder) grant(sent sardine.Millis, g lease.Grant, published uint64) {
	next := pendingLease{lease: Lease{servingEnd: sent + g.Serving}, floor: g.Floor}
	if g.Holding > 0 {
		next.lease.holdingEnd = sent + g.Holding
	}
	h.pending = append(h.pending, next)
	if len(h.pending) > maxPending {
		h.pending = h.pending[1:]
	}
	h.advanceTo(published)
}

// advanceTo extends the lease by the pending grants whose floor the published
// state has reached.
func (h *leaseHolder) advanceTo(published uint64) {
	kept := h.pending[:0]
	for _, p := range h.pending {
		if p.floor > published && h.defect != DefectIgnoreFloor {
			kept = append(kept, p)
			continue
		}
		h.lease.servingEnd = max(h.lease.servingEnd, p.lease.servingEnd)
		h.lease.holdingEnd = max(h.lease.holdingEnd, p.lease.holdingEnd)
	}
	h.pending = kept
}

func (h *leaseHolder) drop() {
	h.lease = Lease{}
	h.pending = nil
}
