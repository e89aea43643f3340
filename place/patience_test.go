package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestACallerThatComesBackHasWaited is the pattern of callers that were refused
// elsewhere: their deadline tells that they can't be answered in time any more.
func TestACallerThatComesBackHasWaited(t *testing.T) {
	var p Patiences
	require.Zero(t, p.Waited("letters", 8000))
	require.Equal(t, sardine.Millis(1100), p.Waited("letters", 6900))
	require.Zero(t, p.Waited("letters", 8000))
	require.Zero(t, p.Waited("checks", 6000), "each route has its own")
	require.Zero(t, p.Waited("checks", 0), "this one does not say")
	p.Keep(sardine.Layout{Routes: []sardine.Route{{Name: "checks"}}})
	require.Zero(t, p.Waited("letters", 6900), "a route that was away is new")
	require.Equal(t, sardine.Millis(1000), p.Waited("checks", 5000))
}
