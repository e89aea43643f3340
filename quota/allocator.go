package quota

import (
	sardine "sardineswitch.dev/sardine"
)

// Allocator divides the targets' limits among the entry nodes by their demand.
// It is not safe for concurrent use.
type Allocator struct {
	startedAt sardine.Millis
}

// NewAllocator returns an allocator that knows nothing.
func NewAllocator(now sardine.Millis) *Allocator {
	return &Allocator{startedAt: now}
}

// Report merges a node's report.
func (a *Allocator) Report(now sardine.Millis, node sardine.NodeID, r Report) {}

// Shares returns the shares of a node, where nodes are the entry nodes of the
// site.
func (a *Allocator) Shares(now sardine.Millis, node sardine.NodeID, nodes []sardine.NodeID) []Share {
	return nil
}
