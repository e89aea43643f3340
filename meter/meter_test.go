package meter

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTwoNodesInOneProcess checks that two nodes in one process don't share
// instruments.
func TestTwoNodesInOneProcess(t *testing.T) {
	page := func(n int) string {
		m, err := New()
		require.NoError(t, err)
		defer func() { require.NoError(t, m.Close()) }()
		c, err := m.Counter("sardine_requests", "requests by code")
		require.NoError(t, err)
		c.With(NewLabel("code", "ok")).Add(n)
		d, err := m.Durations("sardine_first_token", "time to the first token", 0.1, 1)
		require.NoError(t, err)
		d.With(NewLabel("service", "surtitle")).Record(250)
		require.NoError(t, m.Gauges([]Gauge{
			{Name: "sardine_ready", Description: "1 if ready", Read: func() float64 { return Bool(true) }},
			{Name: "sardine_groups", Description: "groups", Labels: []Label{NewLabel("state", "serving")}, Read: func() float64 { return 3 }},
			{Name: "sardine_groups", Description: "groups", Labels: []Label{NewLabel("state", "fenced")}, Read: func() float64 { return 1 }},
		}))
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	one, two := page(1), page(2)
	require.Contains(t, one, "sardine_requests_total{code=\"ok\"} 1\n")
	require.Contains(t, two, "sardine_requests_total{code=\"ok\"} 2\n")
	require.Contains(t, one, "sardine_first_token_seconds_bucket{service=\"surtitle\",le=\"1\"} 1\n")
	require.Contains(t, one, "sardine_ready 1\n")
	require.Contains(t, one, "sardine_groups{state=\"serving\"} 3\n")
	require.Contains(t, one, "sardine_groups{state=\"fenced\"} 1\n")
}
