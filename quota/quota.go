// Package quota divides the request rates that targets state for themselves
// among the entry nodes. Table and Allocator do no I/O and read no clock: the
// caller passes the time, calls each from one goroutine and transfers reports
// and shares between them.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
)

// never is earlier than any instant.
const never sardine.Millis = math.MinInt32

// ShareTerm is how long a share may be used after the node has asked for it.
const ShareTerm = 3 * sardine.Second

const (
	// probeRate is the total rate, in requests per second, that a target
	// receives at least, so that the nodes learn of a raised or removed limit.
	probeRate = 0.3
	// baseNodes is the number of nodes that may use a target with the limit 0.
	// Each request per second of the limit adds one.
	baseNodes = 2
)

// Target is one life of a target's process, for a group that of its head.
type Target struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// usableRate returns the rate that all nodes together may use under a limit.
func usableRate(limit float64) float64 {
	return max(limit, probeRate)
}

// eligible returns how many of the nodes may use a target with a limit. Each
// may send a request at any time, so that their number adds to the burst that
// the target receives.
func eligible(limit float64, nodes int) int {
	return min(nodes, baseNodes+int(math.Ceil(min(limit, float64(nodes)))))
}

// score returns a node's position in a target's rendezvous order, uniform in
// (0,1). The highest scores come first.
func score(vm sardine.VMID, node sardine.NodeID) float64 {
	hash := xxhash.Sum64String(string(vm) + "\x00" + string(node))
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// rank returns the position of a node in a target's rendezvous order, the
// number of nodes if it is none of them.
func rank(vm sardine.VMID, node sardine.NodeID, nodes []sardine.NodeID) int {
	own, position, member := score(vm, node), 0, false
	for _, n := range nodes {
		if n == node {
			member = true
			continue
		}
		if other := score(vm, n); other > own || other == own && n < node {
			position++
		}
	}
	if !member {
		return len(nodes)
	}
	return position
}
