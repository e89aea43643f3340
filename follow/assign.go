package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
)

// ranked is an entry node in the fixed order of its data centre.
type ranked struct {
	holder lease.Holder
	rank   uint64
}

// Assign returns the address of the relay that each entry node should ask; nodes
// that are not in the answer ask a control node. Of each data centre with at
// least RelayThreshold live nodes, the first in the order of the hash of the
// names is the root, the next ones are relays below it, and the others are
// spread over those by rendezvous hashing, so that a node that comes or goes
// moves few others. Nodes whose lease has lapsed relay for nobody.
func Assign(now sardine.Millis, holders []lease.Holder) map[sardine.NodeID]string {
	centres := make(map[sardine.DataCentre][]ranked)
	for _, h := range holders {
		if h.Live(now) {
			dc := h.Entry.DataCentre
			centres[dc] = append(centres[dc], ranked{holder: h, rank: xxhash.Sum64String(string(h.Entry.Node))})
		}
	}
	parents := make(map[sardine.NodeID]string)
	for _, nodes := range centres {
		if len(nodes) >= RelayThreshold {
			assignCentre(parents, nodes)
		}
	}
	return parents
}

func assignCentre(parents map[sardine.NodeID]string, nodes []ranked) {
	slices.SortFunc(nodes, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.holder.Entry.Node, b.holder.Entry.Node))
	})
	root, rest := nodes[0], nodes[1:]
	width, relays := shape(len(rest))
	room := make([]int, relays)
	for i, n := range rest {
		if i < relays || relays == 0 {
			parents[n.holder.Entry.Node] = root.holder.Entry.Address
			continue
		}
		best := choose(n, rest[:relays], room, width)
		room[best]++
		parents[n.holder.Entry.Node] = rest[best].holder.Entry.Address
	}
}

// shape returns the most followers of a relay and the number of relays below the
// root for a data centre with rest nodes besides the root. The fan-out grows
// only where FanOut relays with FanOut followers each do not reach.
func shape(rest int) (width, relays int) {
	width = FanOut
	for width+width*width < rest {
		width++
	}
	if rest <= width {
		return width, 0
	}
	return width, (rest + width) / (width + 1)
}

// choose returns the relay with the highest joint hash that has room.
func choose(n ranked, relays []ranked, room []int, width int) int {
	best, weight := 0, uint64(0)
	for i, r := range relays {
		joint := xxhash.Sum64String(string(n.holder.Entry.Node) + "\x00" + string(r.holder.Entry.Node))
		if room[i] < width && joint >= weight {
			best, weight = i, joint
		}
	}
	return best
}
