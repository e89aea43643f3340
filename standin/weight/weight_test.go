package weight

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDeliversLocallyAndRemotely(t *testing.T) {
	s := New(WithSize(300_000), WithModelSize("big", 600_000))
	require.NoError(t, s.Load(context.Background(), "small", "1"))
	server := httptest.NewServer(s)
	require.NoError(t, NewRemote(server.Listener.Addr().String()).Load(context.Background(), "big", "1"))
	server.Close() // waits for the handler, which counts after its last write
	require.EqualValues(t, 2, s.CompletedLoads())
	require.EqualValues(t, 900_000, s.DeliveredBytes())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, s.Load(ctx, "small", "1"))
}
