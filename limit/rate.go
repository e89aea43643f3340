// Package limit holds a workspace's rates over all entry nodes. Limiter and
// Lender are pure cores: the caller gives them the time, calls each from one
// goroutine and carries reports and grants between them.
package limit

import (
	sardine "sardineswitch.dev/sardine"
)

// Times and parts of lending.
const (
	// ReportInterval is how often a node reports its demand.
	ReportInterval = sardine.Second
	// GrantTerm is how long a share is lent.
	GrantTerm = 4 * sardine.Second
	// ReserveShare is the part of each limit that is not lent but divided
	// evenly, so that a node without a grant can serve.
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

// Demand is what one workspace asks of one node.
type Demand struct {
	Workspace sardine.Workspace
	Wanted    Rate // offered per second, refused ones too
}

// Report is a node's word to the lender, once a ReportInterval.
type Report struct {
	Node    sardine.NodeID
	Holding uint64 // number of the newest grant the node applies
	Demands []Demand
}

// Share is the part of one workspace's limit that is lent to a node.
type Share struct {
	Workspace sardine.Workspace
	Rate      Rate // 0 where the workspace has no limit
}

// Grant answers a report. A newer grant replaces all shares of the older one.
type Grant struct {
	Number uint64 // rises for each node
	Term   sardine.Millis
	Shares []Share
}
