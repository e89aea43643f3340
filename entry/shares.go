package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/wire"
)

// shareTimeout bounds one request for shares. It is shorter than the interval,
// so requests never accumulate.
const shareTimeout = limit.ReportInterval * 9 / 10

// refreshShares is the loop that reports the demand of workspaces with limits
// and receives the shares that the leader allocates. A node without such demand
// sends nothing.
func (n *Node) refreshShares() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(limit.ReportInterval):
		}
		n.refreshSharesOnce()
	}
}

func (n *Node) refreshSharesOnce() {
	sentAt := n.clock.Now()
	n.limitMu.Lock()
	report := n.limiter.Report(sentAt)
	n.limitMu.Unlock()
	if len(report.Demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.baseCtx, shareTimeout.Duration())
	defer cancel()
	answer, err := n.control.Lend(ctx, demandToWire(report))
	if err != nil {
		return // the shares expire and the node falls back to its reserve
	}
	n.limitMu.Lock()
	defer n.limitMu.Unlock()
	n.limiter.ApplyGrant(n.clock.Now(), sentAt, grantFromWire(answer))
}

func demandToWire(r limit.Report) *wire.LendRequest {
	request := &wire.LendRequest{Node: string(r.Node), Holding: r.AppliedGrant}
	for _, d := range r.Demands {
		request.Demands = append(request.Demands, &wire.WorkspaceRate{
			Workspace: string(d.Workspace),
			Requests:  d.Wanted.Requests,
			Tokens:    d.Wanted.Tokens,
		})
	}
	return request
}

func grantFromWire(w *wire.LendReply) limit.Grant {
	g := limit.Grant{Number: w.GetNumber(), Term: sardine.Millis(w.GetTermMillis())}
	for _, s := range w.GetShares() {
		g.Shares = append(g.Shares, limit.Share{
			Workspace: sardine.Workspace(s.GetWorkspace()),
			Rate:      limit.Rate{Requests: s.GetRequests(), Tokens: s.GetTokens()},
		})
	}
	return g
}
