package ctrl

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/shard"
)

const (
	// homeTimeout is the time without a report after which targets are no longer
	// sent to a control node. The node itself refuses them after maxAckAge.
	homeTimeout = 1 * sardine.Second
	// homeReturn is the shortest time after which a target that has moved to another
	// control node is sent back. It bounds how often a target that can't reach the
	// node that it is sent to tries it in vain.
	homeReturn = 5 * sardine.Second
)

// homeReport is a control node's last report to the leader.
type homeReport struct {
	address string // where targets announce themselves
	at      sardine.Millis
}

// homes is the leader's list of the control nodes that may take announcements.
type homes struct {
	self     sardine.NodeID
	since    sardine.Millis // start of the term
	reported map[sardine.NodeID]homeReport
}

func newHomes(self sardine.NodeID) *homes {
	return &homes{self: self, reported: make(map[sardine.NodeID]homeReport)}
}

// lead starts a term.
func (h *homes) lead(now sardine.Millis) {
	h.since = now
	clear(h.reported)
}

func (h *homes) record(now sardine.Millis, node sardine.NodeID, address string) {
	h.reported[node] = homeReport{address: address, at: now}
}

// addresses returns where targets should announce themselves: at the control nodes in
// contact, at the leader only if there is no other. The list is empty until all nodes
// have had the time to report to a new leader.
func (h *homes) addresses(now sardine.Millis) []string {
	if now < h.since+homeTimeout {
		return nil
	}
	var all []string
	for node, r := range h.reported {
		if node != h.self && r.address != "" && now-r.at <= homeTimeout {
			all = append(all, r.address)
		}
	}
	if own := h.reported[h.self].address; len(all) == 0 && own != "" {
		all = append(all, own)
	}
	slices.Sort(all)
	return all
}

// arrival is when a target began to announce itself here, and when it last did.
type arrival struct {
	since sardine.Millis
	last  sardine.Millis
}

// arrivals tells targets where to announce themselves next.
type arrivals struct {
	own     string         // this node's address
	nodes   []string       // addresses that share the targets, as the leader last named them
	lease   sardine.Millis // time without an announcement after which a target counts as gone
	targets map[sardine.VMID]arrival
}

func newArrivals(own string, lease sardine.Millis) *arrivals {
	return &arrivals{own: own, lease: lease, targets: make(map[sardine.VMID]arrival)}
}

// next records an announcement and returns the address for the next one. moved is true
// for a target that has announced itself elsewhere before: it stays for a while, as it
// may have come because it can't reach its own node.
func (a *arrivals) next(now sardine.Millis, vm sardine.VMID, moved bool) string {
	t, known := a.targets[vm]
	if !known || now-t.last > a.lease {
		t.since = now
		if !moved {
			t.since = now - homeReturn
		}
	}
	t.last = now
	a.targets[vm] = t
	if node := shard.Pick(string(vm), a.nodes); node != "" && now-t.since >= homeReturn {
		return node
	}
	return a.own
}

// expire forgets the targets that have gone.
func (a *arrivals) expire(now sardine.Millis) {
	for vm, t := range a.targets {
		if now-t.last > a.lease {
			delete(a.targets, vm)
		}
	}
}
