package quota

import (
	sardine "sardineswitch.dev/sardine"
)

// KnownLimit is what a node knows of a target's limit.
type KnownLimit struct {
	Target  Target
	Service sardine.ServiceName // deployment, empty if unknown
	Limit   float64             // requests per second from all nodes
	Stated  bool                // false after the target has stopped stating a limit
	Age     sardine.Millis      // of the answer that showed it, when the report was made
}

// Demand is the rate of requests for a deployment that arrive at a node.
type Demand struct {
	Service sardine.ServiceName
	Rate    float64 // requests per second, moving mean
}

// Report is a node's report to the allocator.
type Report struct {
	Age     sardine.Millis // time since the report was made
	Limits  []KnownLimit
	Demands []Demand
	due     bool // to be sent although it is empty
}

// Empty reports whether the report need not be sent. A node without limits and
// demand sends one each idleReportInterval, to learn what other nodes know.
func (r Report) Empty() bool {
	return len(r.Limits)+len(r.Demands) == 0 && !r.due
}

// Share is the part of a target's limit that one node may use.
type Share struct {
	Target Target
	Limit  float64        // requests per second from all nodes
	Stated bool           // false after the target has stopped stating a limit
	Age    sardine.Millis // of the answer that showed it, when the share was calculated
	Rate   float64        // of this node, in requests per second
}

// Allocation is what the allocator knows of one target's limit, and the shares
// of the nodes. A node without an entry has the share 0.
type Allocation struct {
	Target Target
	Limit  float64
	Stated bool
	Age    sardine.Millis
	Rates  map[sardine.NodeID]float64
}

// ShareOf returns a node's share, with the age that the allocation has after
// the given time.
func (a Allocation) ShareOf(node sardine.NodeID, elapsed sardine.Millis) Share {
	return Share{Target: a.Target, Limit: a.Limit, Stated: a.Stated, Age: a.Age + elapsed, Rate: a.Rates[node]}
}
