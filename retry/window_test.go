package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// TestBurstOfFailuresStaysWithinTheBound lets every request fail on several nodes
// and counts repeats in every span of the window.
func TestBurstOfFailuresStaysWithinTheBound(t *testing.T) {
	const nodes, ratio, slack, seconds, perSecond = 9, 0.2, 136.0, 60, 160
	windows := make([]*Window, nodes)
	for i := range windows {
		windows[i] = NewWindow(ratio, slack, 10*sardine.Second)
		seat(windows[i], nodes)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var firsts, repeats []sardine.Millis
	for ms := range seconds * 1000 {
		if random.IntN(1000) >= perSecond {
			continue
		}
		now := sardine.Millis(ms)
		w := windows[random.IntN(nodes)]
		w.First(now, "s")
		firsts = append(firsts, now)
		for range 3 {
			if w.Take(now, "s") {
				repeats = append(repeats, now)
			}
		}
	}
	for from := sardine.Millis(0); from < seconds*1000; from += 250 {
		allowed := ratio*float64(between(firsts, from, from+10*sardine.Second)) + slack
		require.LessOrEqual(t, float64(between(repeats, from, from+10*sardine.Second)), allowed, "from %d", from)
	}
	require.Greater(t, len(repeats), seconds*perSecond/10, "most of the bound is used")
}

// seat gives a window its share of the slack among so many, for good.
func seat(w *Window, seats int) {
	w.Share().Seated(0, 0, state.Founded)
	w.Share().Resize(seats)
	w.Share().Vouched(3600 * sardine.Second)
}

// TestInheritedSlackAllowsNothing guards against a node that is stopped and started in
// order, and spends the slack of its last moment again.
func TestInheritedSlackAllowsNothing(t *testing.T) {
	const slack = 5
	old := NewWindow(0, slack, 10*sardine.Second)
	seat(old, 1)
	for range slack {
		require.True(t, old.Take(sardine.Second, "s"))
	}
	next := NewWindow(0, slack, 10*sardine.Second)
	seat(next, 1)
	next.Inherit(0, old.Close(sardine.Second))
	require.False(t, old.Take(sardine.Second, "s"), "it has ended")
	for now := sardine.Millis(0); now < 10*sardine.Second; now += 50 {
		require.False(t, next.Take(now, "s"), "at %d", now)
	}
	last := next.Close(10 * sardine.Second)
	require.Len(t, last.Services, 1, "a third one must count it too")
	require.True(t, last.Known)
}

func between(all []sardine.Millis, from, to sardine.Millis) int {
	count := 0
	for _, at := range all {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

func TestServicesHaveBoundsOfTheirOwn(t *testing.T) {
	w := NewWindow(0, 5, 10*sardine.Second)
	seat(w, 1)
	for range 5 {
		require.True(t, w.Take(0, "a"))
	}
	require.False(t, w.Take(0, "a"))
	require.True(t, w.Take(0, "b"))
	require.False(t, w.Take(10*sardine.Second, "a"), "the window may still hold them")
	require.True(t, w.Take(11*sardine.Second, "a"))
}
