package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
)

// rankedNode is an entry node in the fixed order of its data centre.
type rankedNode struct {
	holder lease.Holder
	rank   uint64
}

// AssignRelays returns the address of the relay that each entry node should poll;
// nodes that are not in the result poll a control node. In each data centre with
// at least RelayThreshold live nodes, the nodes are ordered by the hash of their
// names: the first is the root, the next ones are relays below it, and the others
// are distributed over these relays by rendezvous hashing, so that few nodes
// change their relay when a node joins or leaves. A node whose lease has lapsed
// is no relay.
func AssignRelays(now sardine.Millis, holders []lease.Holder) map[sardine.NodeID]string {
	centres := make(map[sardine.DataCentre][]rankedNode)
	for _, h := range holders {
		if h.Live(now) {
			dc := h.Entry.DataCentre
			centres[dc] = append(centres[dc], rankedNode{holder: h, rank: xxhash.Sum64String(string(h.Entry.Node))})
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

func assignCentre(parents map[sardine.NodeID]string, nodes []rankedNode) {
	slices.SortFunc(nodes, func(a, b rankedNode) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.holder.Entry.Node, b.holder.Entry.Node))
	})
	root, rest := nodes[0], nodes[1:]
	width, relays := treeShape(len(rest))
	followers := make([]int, relays)
	for i, n := range rest {
		if i < relays || relays == 0 {
			parents[n.holder.Entry.Node] = root.holder.Entry.Address
			continue
		}
		best := chooseRelay(n, rest[:relays], followers, width)
		followers[best]++
		parents[n.holder.Entry.Node] = rest[best].holder.Entry.Address
	}
}

// treeShape returns the maximum number of followers of a relay and the number of
// relays below the root for a data centre with rest nodes besides the root. The
// fan-out exceeds FanOut only if FanOut relays with FanOut followers each are too
// few.
func treeShape(rest int) (width, relays int) {
	width = FanOut
	for width+width*width < rest {
		width++
	}
	if rest <= width {
		return width, 0
	}
	return width, (rest + width) / (width + 1)
}

// chooseRelay returns the index of the relay with the highest joint hash among
// those with fewer than width followers.
func chooseRelay(n rankedNode, relays []rankedNode, followers []int, width int) int {
	best, weight := 0, uint64(0)
	for i, r := range relays {
		joint := xxhash.Sum64String(string(n.holder.Entry.Node) + "\x00" + string(r.holder.Entry.Node))
		if followers[i] < width && joint >= weight {
			best, weight = i, joint
		}
	}
	return best
}
