package ctlapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// leading answers every call as the leader does.
type leading struct {
	wire.Control
}

func (leading) Submit(context.Context, *wire.SubmitRequest) (*wire.SubmitReply, error) {
	return &wire.SubmitReply{Index: 7}, nil
}

func (leading) Settings(context.Context, *wire.SettingsRequest) (*wire.SettingsReply, error) {
	return &wire.SettingsReply{Version: 3}, nil
}

// TestSilentNodeIsLeft calls a node that takes calls and never answers. A command
// ends with an unknown outcome, settings are sent again to the next node, and the
// silent node is not asked first any more.
func TestSilentNodeIsLeft(t *testing.T) {
	asked := 0
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked++
		_, _ = r.Body.Read(make([]byte, 1<<10))
		<-r.Context().Done()
	}))
	defer silent.Close()
	leader := httptest.NewServer(wire.NewControlServer(leading{}))
	defer leader.Close()
	client := func() *Client {
		c := New([]string{host(silent), host(leader)})
		c.attempt = 20 * time.Millisecond
		return c
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	c := client()
	defer c.Close()
	_, err := c.Submit(ctx, &wire.SubmitRequest{})
	require.True(t, codes.Is(err, codes.OutcomeUnknown), "%v", err)
	answer, err := c.Submit(ctx, &wire.SubmitRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 7, answer.Index)
	require.Equal(t, 1, asked)

	c = client()
	defer c.Close()
	settings, err := c.Settings(ctx, &wire.SettingsRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 3, settings.Version)
	require.Equal(t, 2, asked)
}

func host(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}
