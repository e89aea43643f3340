package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// All requests of a stalled group move at the same moment. Their prompts must
// be processed one after the other elsewhere, not in one engine iteration.
func TestMovesAreSpacedOut(t *testing.T) {
	schedule := newMoveSchedule(rand.New(rand.NewPCG(1, 2)))
	const every, most = 100, 600
	var last sardine.Millis
	for i := range 5 {
		wait := schedule.delay(1000, "m", every, most)
		if i > 0 {
			require.GreaterOrEqual(t, wait, last+every)
		}
		last = wait
	}
	for range 50 {
		require.LessOrEqual(t, schedule.delay(1000, "m", every, most), sardine.Millis(most), "the caller's patience bounds it")
	}
	require.Less(t, schedule.delay(1000, "other", every, most), sardine.Millis(every+1))
	require.Zero(t, schedule.delay(1000, "plain", 0, most))
}
