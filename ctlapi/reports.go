package ctlapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/shard"
	"sardineswitch.dev/sardine/wire"
)

const (
	// reportAvoidance is how long reports avoid a control node after a failure.
	// Repeated failures double it, up to maxReportAvoidance.
	reportAvoidance    = 2 * time.Second
	maxReportAvoidance = 16 * time.Second
	// reportAttempts bounds the control nodes to which one report is sent: a node that
	// refuses one does so at once.
	reportAttempts = 2
	// reportConnectTimeout is how long a connection for a report may take. It leaves time
	// for a report to the next node.
	reportConnectTimeout = 150 * time.Millisecond
)

// avoidance is the time for which reports avoid a control node.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// reportRoute selects the control node for an entry node's reports: always the same one
// while it accepts them, so that the load stays distributed.
type reportRoute struct {
	mu      sync.Mutex
	leader  string // tried last
	avoided map[string]avoidance
}

func newReportRoute() *reportRoute {
	return &reportRoute{avoided: make(map[string]avoidance)}
}

// candidates returns the addresses in the order in which to try them at an instant:
// avoided ones after the others, the leader after both.
func (r *reportRoute) candidates(now time.Time, node string, addresses []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranked := shard.Rank(node, addresses)
	class := func(address string) int {
		switch {
		case address == r.leader:
			return 2
		case now.Before(r.avoided[address].until):
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(ranked, func(a, b string) int { return class(a) - class(b) })
	return ranked
}

func (r *reportRoute) failed(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoided[address]
	a.length = min(max(2*a.length, reportAvoidance), maxReportAvoidance)
	a.until = now.Add(a.length)
	r.avoided[address] = a
}

func (r *reportRoute) accepted(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, address)
}

// setLeader records the leader and forgets the nodes that are no control nodes any more.
func (r *reportRoute) setLeader(leader string, addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = leader
	for address := range r.avoided {
		if !slices.Contains(addresses, address) {
			delete(r.avoided, address)
		}
	}
}

// ReportCandidates returns the control nodes for the calls of an entry node that any of
// them can answer, in the order in which to try them: the leader last.
func (c *Client) ReportCandidates(node string) []string {
	c.mu.Lock()
	addresses := slices.Clone(c.addresses)
	c.mu.Unlock()
	return c.reports.candidates(time.Now(), node, addresses)
}

// Witness reports what an entry node observes of targets, to one control node. A report
// that is refused, or can't be sent, goes to the next one; after a lost reply none is sent
// again, since the next report follows soon.
func (c *Client) Witness(ctx context.Context, request *wire.WitnessRequest) (*wire.WitnessReply, error) {
	candidates := c.ReportCandidates(request.GetNode())
	err := error(codes.New(codes.NoQuorum, "no control node is known"))
	for _, address := range candidates[:min(reportAttempts, len(candidates))] {
		var answer *wire.WitnessReply
		answer, err = c.witness(ctx, address, request)
		if err != nil {
			c.reports.failed(time.Now(), address)
			if !NeverSent(err) {
				return nil, err
			}
			continue
		}
		if err = ErrorOf(answer.GetFault()); err == nil {
			c.reports.accepted(address)
			return answer, nil
		}
		c.reports.failed(time.Now(), address)
	}
	return nil, err
}

func (c *Client) witness(ctx context.Context, address string, request *wire.WitnessRequest) (*wire.WitnessReply, error) {
	watch := &sentWatch{}
	ctx, stop := watch.limitConnect(ctx, reportConnectTimeout)
	defer stop()
	answer, err := c.Stub(address).Witness(watch.trace(ctx), request)
	return answer, watch.mark(err)
}
