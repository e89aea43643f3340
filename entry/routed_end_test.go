package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
)

// When all nodes of a site restart together, callers that retry before the
// layout is known are refused again, and callers that retry at the same moment
// overload the engines.
func TestRetryAfterCoversNodeStartup(t *testing.T) {
	k := clock.NewVirtual(0)
	n := &Node{clock: k, random: rand.New(rand.NewPCG(1, 2))}
	unready := codes.New(codes.NoLease, "no layout")
	least, most := 60*sardine.Second, sardine.Millis(0)
	for range 200 {
		after := n.retryAfter(unready)
		require.GreaterOrEqual(t, after, layoutDelay)
		least, most = min(least, after), max(most, after)
	}
	require.Greater(t, most-least, retryDelay/2, "the delays are spread")
	k.Advance(10 * sardine.Second)
	require.Less(t, n.retryAfter(unready), 2*retryDelay, "the node started long ago")
	require.Less(t, n.retryAfter(codes.New(codes.QueueFull, "full")), 2*retryDelay)
}
