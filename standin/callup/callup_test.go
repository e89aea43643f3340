package callup

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
)

// TestAnnouncementsAreNumbered: an entry node that stood still reads what was sent to
// it meanwhile after its successor has told the leader of newer ones.
func TestAnnouncementsAreNumbered(t *testing.T) {
	serials := make(chan uint64, 8)
	home := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if a, err := annc.Decode(text); err == nil {
			serials <- a.Sequence
		}
		_, _ = w.Write(annc.EncodeAnswer(annc.NewAnswer("", 1000)))
	}))
	defer home.Close()
	c := New(strings.TrimPrefix(home.URL, "http://"), sardine.Second, func() sardine.Announcement {
		return sardine.Announcement{VM: "app", Incarnation: 1, Kind: sardine.KindPlain, Address: "127.0.0.1:80", DataCentre: "osu", Service: "app"}
	})
	for want := uint64(1); want <= 3; want++ {
		c.announce(context.Background(), "", sardine.Second)
		require.Equal(t, want, <-serials)
	}
}
