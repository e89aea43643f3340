package place

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// play lets a service write events with a pause for some seconds, twenty in each, while
// requests ask for long and short answers.
func (p *Pace) play(from sardine.Millis, seconds int, pause sardine.Millis, random *rand.Rand) sardine.Millis {
	now := from
	for range seconds * 20 {
		now += 50
		p.Asked(now, "s", 1+77*random.Float64(), 8000)
		p.Paused(now, "s", pause)
	}
	return now
}

// TestBoundFollowsThePauseThatTheLongestAnswersBear guards against the incident SHORT:
// batches that write too slowly for the longest answers take fewer requests, and are
// filled again once they write fast enough.
func TestBoundFollowsThePauseThatTheLongestAnswersBear(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPace()
	require.InDelta(t, promptShare, p.Bound(0, "s"), 1e-9, "nothing is known")
	now := p.play(0, 20, 60, random)
	require.InDelta(t, promptShare, p.Bound(now, "s"), 1e-9, "78 events of 60 ms fit into 8 s")
	now = p.play(now, 5, 130, random)
	require.Less(t, p.Bound(now, "s"), 1.0)
	now = p.play(now, 30, 400, random)
	require.InDelta(t, paceLeast, p.Bound(now, "s"), 1e-9, "never closed")
	now = p.play(now, 20, 60, random)
	require.InDelta(t, promptShare, p.Bound(now, "s"), 1e-9)
	require.InDelta(t, promptShare, p.Bound(now, "other"), 1e-9)
}

// TestBoundAsksForNoMoreThanIsNeeded guards against short batches for a service whose
// callers have time.
func TestBoundAsksForNoMoreThanIsNeeded(t *testing.T) {
	p := NewPace()
	for now := sardine.Millis(0); now < 20*sardine.Second; now += 50 {
		p.Asked(now, "s", 10, 8000)
		p.Paused(now, "s", 400)
	}
	require.InDelta(t, promptShare, p.Bound(20*sardine.Second, "s"), 1e-9)
}

// TestNodeWithoutStreamsForgetsTheirPace guards against a node that goes on to refuse
// what the engines could take, since its own streams have ended.
func TestNodeWithoutStreamsForgetsTheirPace(t *testing.T) {
	p := NewPace()
	now := p.play(0, 30, 400, rand.New(rand.NewPCG(1, 2)))
	require.InDelta(t, paceLeast, p.Bound(now, "s"), 1e-9)
	require.InDelta(t, promptShare, p.Bound(now+30*sardine.Second, "s"), 1e-9)
}

// TestFreshRequestsKeepToTheBound checks who is refused by it.
func TestFreshRequestsKeepToTheBound(t *testing.T) {
	for _, c := range []struct {
		q  Request
		ok bool
	}{
		{Request{Requests: 15, Slots: 30, Bound: 0.6}, true},
		{Request{Requests: 20, Slots: 30, Bound: 0.6}, false},
		{Request{Requests: 20, Slots: 30, Bound: 0.6, Late: true}, false},
		{Request{Requests: 20, Slots: 30, Bound: 0.6, Resumed: true}, true},
		{Request{Requests: 40, Slots: 30, Bound: promptShare}, true},
	} {
		_, ok := Rank(c.q)
		require.Equal(t, c.ok, ok, "%+v", c.q)
	}
}
