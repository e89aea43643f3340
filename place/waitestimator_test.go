package place

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestReturningCallerHasWaited checks that callers that were refused
// elsewhere are recognised by the little time they have left.
func TestReturningCallerHasWaited(t *testing.T) {
	p := NewWaitEstimator()
	require.Zero(t, p.Waited("letters", 8000))
	require.Equal(t, sardine.Millis(1100), p.Waited("letters", 6900))
	require.Zero(t, p.Waited("letters", 8000))
	require.Zero(t, p.Waited("checks", 6000), "each route has its own estimate")
	require.Zero(t, p.Waited("checks", 0), "no deadline")
	p.Retain(sardine.Layout{Routes: []sardine.Route{{Name: "checks"}}})
	require.Zero(t, p.Waited("letters", 6900), "a removed route starts anew")
	require.Equal(t, sardine.Millis(1000), p.Waited("checks", 5000))
}

// TestShortDeadlineIsNotEarlierWait guards against taking a shorter deadline
// for time already spent waiting: callers of one route have different
// deadlines, and three quarters of all requests were then served last.
func TestShortDeadlineIsNotEarlierWait(t *testing.T) {
	const count, objective = 2000, 300
	random := rand.New(rand.NewPCG(1, 2))
	p := NewWaitEstimator()
	late, returned := 0, 0
	for range count {
		first := sardine.Millis(6800 + random.IntN(1200))
		if p.Waited("drafts", first) > objective {
			late++
		}
		if random.IntN(20) == 0 && p.Waited("drafts", first-2500) > objective {
			returned++
		}
	}
	require.LessOrEqual(t, late, count/10)
	require.GreaterOrEqual(t, returned, count/20*8/10, "most returning callers are recognised")
}
