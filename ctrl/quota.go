package ctrl

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quota"
)

// receivedQuota is an entry node's report and when this node received it.
type receivedQuota struct {
	at     sardine.Millis
	report quota.Report
}

// quotaRelay passes the entry nodes' reports on targets' limits to the leader, and its
// allocations to the entry nodes.
type quotaRelay struct {
	reports     map[sardine.NodeID]receivedQuota
	sentAt      sardine.Millis // when the last report to the leader was made
	ackedAt     sardine.Millis // when the last report was made that the leader has acknowledged
	allocations []quota.Allocation
}

func newQuotaRelay() *quotaRelay {
	return &quotaRelay{reports: make(map[sardine.NodeID]receivedQuota)}
}

// next returns the reports that the leader has not acknowledged yet.
func (q *quotaRelay) next(now sardine.Millis) map[sardine.NodeID]quota.Report {
	q.sentAt = now
	pending := make(map[sardine.NodeID]quota.Report)
	for node, r := range q.reports {
		if r.at < q.ackedAt || now-r.at >= quota.ShareTerm {
			delete(q.reports, node)
			continue
		}
		r.report.Age = now - r.at
		pending[node] = r.report
	}
	return pending
}

// acknowledge processes the leader's reply to the last report.
func (q *quotaRelay) acknowledge(allocations []quota.Allocation) {
	q.ackedAt = q.sentAt
	q.allocations = allocations
}

// exchangeQuota records an entry node's report for the leader, and returns the node's
// shares by the leader's last reply.
func (c *targetCollector) exchangeQuota(now sardine.Millis, node sardine.NodeID, r quota.Report) []quota.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.reports[node] = receivedQuota{at: now, report: r}
	shares := make([]quota.Share, 0, len(c.quota.allocations))
	for _, a := range c.quota.allocations {
		shares = append(shares, a.ShareOf(node, now-c.quota.ackedAt))
	}
	return shares
}

// allocateQuotas merges entry nodes' reports and returns the allocations. The caller
// holds mu.
func (l *leadership) allocateQuotas(now sardine.Millis, reports map[sardine.NodeID]quota.Report) []quota.Allocation {
	for node, r := range reports {
		l.quotas.Report(now, node, r)
	}
	holders := l.ledger.Holders()
	nodes := make([]sardine.NodeID, 0, len(holders))
	for _, h := range holders {
		nodes = append(nodes, h.Entry.Node)
	}
	return l.quotas.Allocations(now, nodes)
}
