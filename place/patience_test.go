package place

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestACallerThatComesBackHasWaited is the pattern of callers that were refused
// elsewhere: their deadline tells that they can't be answered in time any more.
func TestACallerThatComesBackHasWaited(t *testing.T) {
	p := NewPatiences()
	require.Zero(t, p.Waited("letters", 8000))
	require.Equal(t, sardine.Millis(1100), p.Waited("letters", 6900))
	require.Zero(t, p.Waited("letters", 8000))
	require.Zero(t, p.Waited("checks", 6000), "each route has its own")
	require.Zero(t, p.Waited("checks", 0), "this one does not say")
	p.Keep(sardine.Layout{Routes: []sardine.Route{{Name: "checks"}}})
	require.Zero(t, p.Waited("letters", 6900), "a route that was away is new")
	require.Equal(t, sardine.Millis(1000), p.Waited("checks", 5000))
}

// TestCallersWithLittlePatienceHaveNotWaited guards against the incident SHORT: callers
// of one route who state different times were taken for ones that had waited, and
// three quarters of all requests were served last.
func TestCallersWithLittlePatienceHaveNotWaited(t *testing.T) {
	const count, objective = 2000, 300
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPatiences()
	late, back := 0, 0
	for range count {
		first := sardine.Millis(6800 + random.IntN(1200))
		if p.Waited("drafts", first) > objective {
			late++
		}
		if random.IntN(20) == 0 && p.Waited("drafts", first-2500) > objective {
			back++
		}
	}
	require.LessOrEqual(t, late, count/10)
	require.GreaterOrEqual(t, back, count/20*8/10, "those that come back are known")
}
