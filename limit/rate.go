// Package limit enforces a workspace's rates over all entry nodes. Limiter
// and Allocator do no I/O and read no clock: the caller passes the time, calls
// each from one goroutine and transfers reports and grants between them.
package limit

import (
	sardine "sardineswitch.dev/sardine"
)

// Intervals and shares of the allocation.
const (
	// ReportInterval is how often a node reports its demand.
	ReportInterval = sardine.Second
	// GrantTerm is the duration of a grant.
	GrantTerm = 4 * sardine.Second
	// ReserveShare is the part of each limit that is not allocated by demand
	// but divided evenly, so that a node without a grant can serve requests.
	ReserveShare = 0.1
)

// Rate is a number of requests and a number of tokens per second.
type Rate struct {
	Requests float64
	Tokens   float64
}

func (r Rate) plus(o Rate) Rate {
	return Rate{Requests: r.Requests + o.Requests, Tokens: r.Tokens + o.Tokens}
}

func (r Rate) times(f float64) Rate {
	return Rate{Requests: r.Requests * f, Tokens: r.Tokens * f}
}

// higher returns the higher of both numbers.
func (r Rate) higher(o Rate) Rate {
	return Rate{Requests: max(r.Requests, o.Requests), Tokens: max(r.Tokens, o.Tokens)}
}

// Demand is the demand for one workspace on one node.
type Demand struct {
	Workspace sardine.Workspace
	Wanted    Rate // offered per second, including refused requests
}

// Report is a node's report to the allocator, sent once per ReportInterval.
type Report struct {
	Node         sardine.NodeID
	AppliedGrant uint64 // number of the newest grant the node applies
	Demands      []Demand
}

// Share is the part of one workspace's limit that is allocated to a node.
type Share struct {
	Workspace sardine.Workspace
	Rate      Rate // 0 where the workspace has no limit
}

// Grant answers a report. A newer grant replaces all shares of the older one.
type Grant struct {
	Number uint64 // increases with each grant of a node
	Term   sardine.Millis
	Shares []Share
}
