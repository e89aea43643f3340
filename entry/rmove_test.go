package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestRequestsThatMoveTakeTurns is the pattern of a group that stands still: what it
// had is read elsewhere one after the other, not in one pass.
func TestRequestsThatMoveTakeTurns(t *testing.T) {
	turns := newTurns(rand.New(rand.NewPCG(1, 2)))
	const every, most = 100, 600
	var last sardine.Millis
	for i := range 5 {
		wait := turns.take(1000, "m", every, most)
		if i > 0 {
			require.GreaterOrEqual(t, wait, last+every)
		}
		last = wait
	}
	for range 50 {
		require.LessOrEqual(t, turns.take(1000, "m", every, most), sardine.Millis(most), "the caller's patience bounds it")
	}
	require.Less(t, turns.take(1000, "other", every, most), sardine.Millis(every+1))
	require.Zero(t, turns.take(1000, "plain", 0, most))
}
