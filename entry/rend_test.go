package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
)

// TestCallersOfAStartedNodeComeBackLater is the pattern of a site whose nodes all
// lost power: callers that come back before the layout is known are refused again,
// and those that come back together crowd the engines.
func TestCallersOfAStartedNodeComeBackLater(t *testing.T) {
	k := clock.NewVirtual(0)
	n := &Node{clock: k, random: rand.New(rand.NewPCG(1, 2))}
	unready := codes.New(codes.NoLease, "no layout")
	least, most := 60*sardine.Second, sardine.Millis(0)
	for range 200 {
		after := n.comeBack(unready)
		require.GreaterOrEqual(t, after, layoutAfter)
		least, most = min(least, after), max(most, after)
	}
	require.Greater(t, most-least, returnAfter/2, "they are spread")
	k.Advance(10 * sardine.Second)
	require.Less(t, n.comeBack(unready), 2*returnAfter, "the node is no longer new")
	require.Less(t, n.comeBack(codes.New(codes.QueueFull, "full")), 2*returnAfter)
}
