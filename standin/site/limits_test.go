package site

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLimitFollowsDemand sends all requests of a workspace through one node of
// three. The node's own reserve is a small part of the limit, so it must be
// allocated shares of the others to serve them all.
func TestLimitFollowsDemand(t *testing.T) {
	s := startWithoutEngines(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err := s.Set(ctx, 1, "limit", "/teams/"+string(Team)+"/workspaces/"+string(Workspace),
		"weight = 1.0\nrequests_per_second = 60.0\nservices = [\"surtitles\", \"box-office\"]\n")
	require.NoError(t, err)
	address := s.Entries()[0].Node().PublicAddress()
	successes := 0
	_, err = Await(testLimit, "20 requests in a row at a third of the limit", func() bool {
		status, _, _ := book(t, address, "", "seat")
		if status == http.StatusOK {
			successes++
		} else {
			require.Equal(t, http.StatusTooManyRequests, status)
			successes = 0
		}
		time.Sleep(50 * time.Millisecond)
		return successes >= 20
	})
	require.NoError(t, err)
}
