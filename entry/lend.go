package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/wire"
)

// lendTimeout bounds one question for shares. It is shorter than the interval,
// so that questions never pile up.
const lendTimeout = limit.ReportInterval * 9 / 10

// borrow is a duty: it reports the demand of limited workspaces and takes the
// shares that are lent. A node without such demand asks nothing.
func (n *Node) borrow() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(limit.ReportInterval):
		}
		n.borrowOnce()
	}
}

func (n *Node) borrowOnce() {
	asked := n.clock.Now()
	n.limitMu.Lock()
	report := n.limiter.Report(asked)
	n.limitMu.Unlock()
	if len(report.Demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.life, lendTimeout.Duration())
	defer cancel()
	answer, err := n.control.Lend(ctx, demandToWire(report))
	if err != nil {
		return // the shares lapse and the node falls back to its reserve
	}
	n.limitMu.Lock()
	defer n.limitMu.Unlock()
	n.limiter.Lent(n.clock.Now(), asked, grantOf(answer))
}

func demandToWire(r limit.Report) *wire.LendRequest {
	request := &wire.LendRequest{Node: string(r.Node), Holding: r.Holding}
	for _, d := range r.Demands {
		request.Demands = append(request.Demands, &wire.WorkspaceRate{
			Workspace: string(d.Workspace),
			Requests:  d.Wanted.Requests,
			Tokens:    d.Wanted.Tokens,
		})
	}
	return request
}

func grantOf(w *wire.LendReply) limit.Grant {
	g := limit.Grant{Number: w.GetNumber(), Term: sardine.Millis(w.GetTermMillis())}
	for _, s := range w.GetShares() {
		g.Shares = append(g.Shares, limit.Share{
			Workspace: sardine.Workspace(s.GetWorkspace()),
			Rate:      limit.Rate{Requests: s.GetRequests(), Tokens: s.GetTokens()},
		})
	}
	return g
}
