package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/clock"
)

// TestSearchForPeersEndsWhenLinksAreBack guards against requests that wait without end for
// another entry node, because the suspicion that made them search is over.
func TestSearchForPeersEndsWhenLinksAreBack(t *testing.T) {
	n := &Node{clock: clock.NewReal(), random: rand.New(rand.NewPCG(1, 1))}
	n.published.Store(&published{view: emptyView()})
	n.links = newIsolation(n)
	n.peers = newPeers(n)
	go func() {
		for t.Context().Err() == nil {
			n.peers.due() // the links are connected: each call ends the search
			time.Sleep(time.Millisecond)
		}
	}()
	found := make(chan bool, 1)
	go func() { found <- n.peers.await(t.Context(), nil) }()
	select {
	case available := <-found:
		require.False(t, available)
	case <-time.After(5 * time.Second):
		t.Fatal("the search does not end")
	}
}
