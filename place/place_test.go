package place

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against probes that wait behind other requests at a loaded engine until their
// callers have left: the requests that wait for their outcome are lost with them.
func TestProbeIsServedBeforeOtherRequests(t *testing.T) {
	loaded := Request{TargetRequests: 40, Slots: 26, Saturated: true, Late: true, Bound: 0.5}
	_, ok := Rank(loaded)
	require.False(t, ok)
	loaded.Probe = true
	rank, ok := Rank(loaded)
	require.True(t, ok)
	require.Less(t, rank, RankOnTime)
	loaded.TargetRequests = burstShare * 26
	_, ok = Rank(loaded)
	require.False(t, ok, "the engine would refuse it")
}
