package order

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

var _ sardine.EngineClient = (*Client)(nil)

var sample = sardine.Order{Group: "g", Epoch: 4, Rank: 1, Size: 4, Model: "m", Version: "v"}

func TestRoundTrip(t *testing.T) {
	got, err := Decode(Encode(sample))
	require.NoError(t, err)
	require.Equal(t, sample, got)
	for _, text := range []string{`{}`, `[`, `{"group":"g","epoch":0}`, `{"group":"g","epoch":1,"model":"m","rank":4,"size":4}`} {
		_, err := Decode([]byte(text))
		require.True(t, codes.Is(err, codes.BadRequest), "%s: %v", text, err)
	}
}

func TestSendMapsStatusCodes(t *testing.T) {
	status := http.StatusOK
	var got sardine.Order
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, Path, r.URL.Path)
		text := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(text)
		got, _ = Decode(text)
		http.Error(w, "holds epoch 9", status)
	}))
	address := server.Listener.Addr().String()
	c := NewClient()
	defer c.Close()
	require.NoError(t, c.Send(context.Background(), address, sample))
	require.Equal(t, sample, got)
	status = http.StatusConflict
	err := c.Send(context.Background(), address, sample)
	require.True(t, codes.Is(err, codes.EpochRefused))
	require.ErrorContains(t, err, "holds epoch 9")
	status = http.StatusInternalServerError
	require.True(t, codes.Is(c.Send(context.Background(), address, sample), codes.TargetFailed))
	server.Close()
	require.True(t, codes.Is(c.Send(context.Background(), address, sample), codes.TargetFailed))
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(Encode(o))
		require.NoError(t, err)
		require.Equal(t, o, again)
	})
}
