package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/wire"
)

// Lend receives an entry node's demand and allocates shares of the workspaces' limits
// to it. Only a leader that a quorum has confirmed allocates shares, because two
// leaders together would allocate more than the limit.
func (n *Node) Lend(ctx context.Context, r *wire.LendRequest) (*wire.LendReply, error) {
	grant, err := n.lend(ctx, r)
	n.instruments.load.count(taskShare, err)
	if err != nil {
		return &wire.LendReply{Fault: ctlapi.FaultOf(err)}, nil
	}
	return grantToWire(grant), nil
}

func (n *Node) lend(ctx context.Context, r *wire.LendRequest) (limit.Grant, error) {
	_, term, err := n.confirm(ctx)
	if err != nil {
		return limit.Grant{}, err
	}
	return n.leadership.lend(n.clock.Now(), term, reportOfDemand(r))
}

func reportOfDemand(r *wire.LendRequest) limit.Report {
	report := limit.Report{Node: sardine.NodeID(r.GetNode()), AppliedGrant: r.GetHolding()}
	for _, d := range r.GetDemands() {
		report.Demands = append(report.Demands, limit.Demand{
			Workspace: sardine.Workspace(d.GetWorkspace()),
			Wanted:    limit.Rate{Requests: d.GetRequests(), Tokens: d.GetTokens()},
		})
	}
	return report
}

func grantToWire(g limit.Grant) *wire.LendReply {
	answer := &wire.LendReply{Number: g.Number, TermMillis: uint64(g.Term)}
	for _, s := range g.Shares {
		answer.Shares = append(answer.Shares, &wire.WorkspaceRate{
			Workspace: string(s.Workspace),
			Requests:  s.Rate.Requests,
			Tokens:    s.Rate.Tokens,
		})
	}
	return answer
}

func (l *leadership) lend(now sardine.Millis, term uint64, r limit.Report) (limit.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || l.allocator == nil {
		return limit.Grant{}, codes.New(codes.NotLeader, "the leadership has changed")
	}
	return l.allocator.Report(now, r), nil
}

// configureLimits sets the workspaces' limits from the settings. The caller holds mu.
func (l *leadership) configureLimits(settings []sardine.TeamSettings) {
	limits := make(map[sardine.Workspace]limit.Rate)
	for _, s := range settings {
		for _, t := range s.Tenants {
			if t.RequestsPerSecond > 0 || t.TokensPerSecond > 0 {
				limits[t.Name] = limit.Rate{Requests: t.RequestsPerSecond, Tokens: t.TokensPerSecond}
			}
		}
	}
	l.allocator.Configure(limits)
}
