package ctlapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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
	var asked atomic.Int32
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
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
	require.EqualValues(t, 1, asked.Load())

	c = client()
	defer c.Close()
	settings, err := c.Settings(ctx, &wire.SettingsRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 3, settings.Version)
	require.EqualValues(t, 2, asked.Load())
}

func host(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// holding says once that a change is held, and then falls silent.
type holding struct {
	wire.Control
	asked atomic.Int32
}

func (h *holding) Settings(ctx context.Context, _ *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if h.asked.Add(1) == 1 {
		return &wire.SettingsReply{Version: 3, Fault: FaultOf(codes.New(codes.ChangeHeld, "not yet in force"))}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a change that is durable and held, and reported as of unknown outcome
// since the caller's time was over in the middle of a call.
func TestHeldChangeIsToldWhenTimeIsOver(t *testing.T) {
	h := &holding{}
	leader := httptest.NewServer(wire.NewControlServer(h))
	defer leader.Close()
	c := New([]string{host(leader)})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Settings(ctx, &wire.SettingsRequest{ChangeId: "c"})
	require.True(t, codes.Is(err, codes.ChangeHeld), "%v", err)
	require.Greater(t, h.asked.Load(), int32(1), "it was asked again")
}
