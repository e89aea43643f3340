package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// TestBurstOfFailuresStaysWithinTheBound fails every request on several nodes
// and counts the retries in every window.
func TestBurstOfFailuresStaysWithinTheBound(t *testing.T) {
	const nodes, ratio, allowance, seconds, perSecond = 9, 0.2, 136.0, 60, 160
	windows := make([]*Window, nodes)
	for i := range windows {
		windows[i] = NewWindow(ratio, allowance, 10*sardine.Second)
		assignSlot(windows[i], nodes)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var requests, retries []sardine.Millis
	for ms := range seconds * 1000 {
		if random.IntN(1000) >= perSecond {
			continue
		}
		now := sardine.Millis(ms)
		w := windows[random.IntN(nodes)]
		w.CountRequest(now, "s")
		requests = append(requests, now)
		for range 3 {
			if w.TryRetry(now, "s") {
				retries = append(retries, now)
			}
		}
	}
	for from := sardine.Millis(0); from < seconds*1000; from += 250 {
		allowed := ratio*float64(between(requests, from, from+10*sardine.Second)) + allowance
		require.LessOrEqual(t, float64(between(retries, from, from+10*sardine.Second)), allowed, "from %d", from)
	}
	require.Greater(t, len(retries), seconds*perSecond/10, "most of the bound is used")
}

// assignSlot gives a window its share of the allowance among the given number
// of slots.
func assignSlot(w *Window, slots int) {
	w.Share().AssignSlot(0, 0, state.SlotInitial)
	w.Share().Resize(slots)
	w.Share().Confirm(3600 * sardine.Second)
}

// TestInheritedAllowanceIsNotSpentAgain guards against a node that is
// stopped and started cleanly, and spends the allowance of its last seconds
// again.
func TestInheritedAllowanceIsNotSpentAgain(t *testing.T) {
	const allowance = 5
	old := NewWindow(0, allowance, 10*sardine.Second)
	assignSlot(old, 1)
	for range allowance {
		require.True(t, old.TryRetry(sardine.Second, "s"))
	}
	next := NewWindow(0, allowance, 10*sardine.Second)
	assignSlot(next, 1)
	next.Inherit(0, old.Close(sardine.Second))
	require.False(t, old.TryRetry(sardine.Second, "s"), "it is closed")
	for now := sardine.Millis(0); now < 10*sardine.Second; now += 50 {
		require.False(t, next.TryRetry(now, "s"), "at %d", now)
	}
	last := next.Close(10 * sardine.Second)
	require.Len(t, last.Services, 1, "the next incarnation must count it, too")
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
	assignSlot(w, 1)
	for range 5 {
		require.True(t, w.TryRetry(0, "a"))
	}
	require.False(t, w.TryRetry(0, "a"))
	require.True(t, w.TryRetry(0, "b"))
	require.False(t, w.TryRetry(10*sardine.Second, "a"), "they may still be in the window")
	require.True(t, w.TryRetry(11*sardine.Second, "a"))
}
