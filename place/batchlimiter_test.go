package place

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// simulate records twenty events a second, with the given pause, and as many
// requests for short and long answers. It returns the time at the end.
func (p *BatchLimiter) simulate(from sardine.Millis, seconds int, pause sardine.Millis, random *rand.Rand) sardine.Millis {
	now := from
	for range seconds * 20 {
		now += 50
		p.ObserveRequest(now, "s", 1+77*random.Float64(), 8000)
		p.ObserveGap(now, "s", pause)
	}
	return now
}

// TestBoundFollowsMaxPause guards against batches that are filled so far
// that their events come too slowly for the longest answers to end in time.
// Such batches must accept fewer requests, and fill up again once the events
// come fast enough.
func TestBoundFollowsMaxPause(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := NewBatchLimiter()
	require.InDelta(t, onTimeShare, p.Bound(0, "s"), 1e-9, "no observations")
	now := p.simulate(0, 20, 60, random)
	require.InDelta(t, onTimeShare, p.Bound(now, "s"), 1e-9, "78 events of 60 ms fit into 8 s")
	now = p.simulate(now, 5, 130, random)
	require.Less(t, p.Bound(now, "s"), 1.0)
	now = p.simulate(now, 30, 400, random)
	require.InDelta(t, minBound, p.Bound(now, "s"), 1e-9, "never zero")
	now = p.simulate(now, 20, 60, random)
	require.InDelta(t, onTimeShare, p.Bound(now, "s"), 1e-9)
	require.InDelta(t, onTimeShare, p.Bound(now, "other"), 1e-9)
}

// TestBoundStaysHighForShortAnswers guards against needlessly small batches
// for a service whose answers fit easily into the timeout.
func TestBoundStaysHighForShortAnswers(t *testing.T) {
	p := NewBatchLimiter()
	for now := sardine.Millis(0); now < 20*sardine.Second; now += 50 {
		p.ObserveRequest(now, "s", 10, 8000)
		p.ObserveGap(now, "s", 400)
	}
	require.InDelta(t, onTimeShare, p.Bound(20*sardine.Second, "s"), 1e-9)
}

// TestBoundRecoversWithoutStreams guards against a node that keeps refusing
// requests which the engines could run, although its own slow streams have
// ended.
func TestBoundRecoversWithoutStreams(t *testing.T) {
	p := NewBatchLimiter()
	now := p.simulate(0, 30, 400, rand.New(rand.NewPCG(1, 2)))
	require.InDelta(t, minBound, p.Bound(now, "s"), 1e-9)
	require.InDelta(t, onTimeShare, p.Bound(now+30*sardine.Second, "s"), 1e-9)
}

// TestRankAppliesBoundToFreshRequests checks which requests the bound
// refuses.
func TestRankAppliesBoundToFreshRequests(t *testing.T) {
	for _, c := range []struct {
		q  Request
		ok bool
	}{
		{Request{TargetRequests: 15, Slots: 30, Bound: 0.6}, true},
		{Request{TargetRequests: 20, Slots: 30, Bound: 0.6}, false},
		{Request{TargetRequests: 20, Slots: 30, Bound: 0.6, Late: true}, false},
		{Request{TargetRequests: 20, Slots: 30, Bound: 0.6, Resumed: true}, true},
		{Request{TargetRequests: 40, Slots: 30, Bound: onTimeShare}, true},
	} {
		_, ok := Rank(c.q)
		require.Equal(t, c.ok, ok, "%+v", c.q)
	}
}
