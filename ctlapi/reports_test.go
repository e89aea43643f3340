package ctlapi

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReportsReturnToTheirNode guards against entry nodes that stay with another control
// node after the one of their own has refused a report.
func TestReportsReturnToTheirNode(t *testing.T) {
	addresses := []string{"a:1", "b:1", "c:1", "d:1"}
	for i := range 100 {
		node := fmt.Sprintf("e%d", i)
		r := newReportRoute()
		now := time.Unix(100, 0)
		order := r.candidates(now, node, addresses)
		r.failed(now, order[0])
		require.Equal(t, order[1], r.candidates(now, node, addresses)[0])
		now = now.Add(reportAvoidance)
		require.Equal(t, order, r.candidates(now, node, addresses))
		for range 10 {
			r.failed(now, order[0])
		}
		require.Equal(t, order[1], r.candidates(now.Add(maxReportAvoidance-1), node, addresses)[0])
		require.Equal(t, order, r.candidates(now.Add(maxReportAvoidance), node, addresses))
		r.accepted(order[0])
		require.Equal(t, order, r.candidates(now, node, addresses))
		r.setLeader(order[0], addresses)
		require.Equal(t, order[0], r.candidates(now, node, addresses)[3], "the leader")
	}
}
