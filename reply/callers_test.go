package reply

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

func TestCallParsesHeaders(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "http://site/services/shop/buy", nil)
	r.Header.Set(HeaderWorkspace, "w")
	r.Header.Set("Authorization", "Bearer token")
	r.Header.Set(HeaderPriority, "live")
	r.Header.Set(HeaderDeadline, "250")
	r.Header.Set(HeaderIdempotencyKey, "k")
	c, err := NewCallerPort().Call(r)
	require.NoError(t, err)
	require.Equal(t, sardine.Call{
		Host: "site", Path: "/services/shop/buy", Workspace: "w", Key: "token",
		Priority: sardine.PriorityLive, Timeout: 250, IdempotencyKey: "k",
	}, c)
}

func TestCallErrorNamesHeader(t *testing.T) {
	for header, value := range map[string]string{
		HeaderWorkspace:      "",
		HeaderPriority:       "urgent",
		HeaderDeadline:       "-1",
		"Authorization":      "token",
		HeaderIdempotencyKey: "\xff",
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(HeaderWorkspace, "w")
		r.Header.Set(header, value)
		_, err := NewCallerPort().Call(r)
		require.Equal(t, codes.BadRequest, codes.Of(err), header)
		require.Contains(t, err.Error(), header)
	}
}

func TestRefuseReportsRan(t *testing.T) {
	w := httptest.NewRecorder()
	NewCallerPort().Refuse(w, sardine.Refusal{Request: "r", Cause: codes.New(codes.QueueFull, "full"), Ran: sardine.RanNo, RetryAfter: 1500})
	require.Equal(t, codes.QueueFull.Status(), w.Code)
	require.Equal(t, "no", w.Header().Get(HeaderRan))
	require.Equal(t, "r", w.Header().Get(HeaderRequest))
	require.Equal(t, "2", w.Header().Get("Retry-After"))
}

func TestPrioritiesRoundTripThroughRanks(t *testing.T) {
	for _, p := range []sardine.Priority{sardine.PriorityBatch, sardine.PriorityNormal, sardine.PriorityLive} {
		require.Equal(t, p, sardine.PriorityOfRank(p.Rank()))
	}
	require.Zero(t, sardine.PriorityLive.Rank())
	require.Equal(t, sardine.PriorityBatch, sardine.PriorityOfRank(99))
	require.Equal(t, sardine.PriorityLive, sardine.PriorityOfRank(-1))
}
