package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func TestNeverTwiceUnlessIdempotent(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 1)))
	for _, ran := range []sardine.Ran{sardine.RanUnknown, sardine.RanYes} {
		require.Equal(t, NotTwice, b.MayRetry(0, "w", ran, false, 1).Reason)
		require.True(t, b.MayRetry(0, "w", ran, true, 1).Retry)
	}
	require.True(t, b.MayRetry(0, "w", sardine.RanNo, false, 1).Retry)
	require.Equal(t, Exhausted, b.MayRetry(0, "w", sardine.RanNo, true, 3).Reason)
}

func TestRetriesFollowSuccesses(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)))
	allowed, requests := 0, 100000
	for i := range requests {
		w := sardine.Workspace(rune('a' + i%10))
		if i%2 == 0 {
			b.Succeeded(0, w)
			continue
		}
		if d := b.MayRetry(0, w, sardine.RanNo, true, 1); d.Retry {
			allowed++
			require.LessOrEqual(t, d.After, sardine.Millis(500))
		}
	}
	require.Less(t, float64(allowed)/float64(requests), 0.1, "upstream calls stay under 1.1 per request")
}

func TestTenantsAreBounded(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 3)))
	b.options.tenants = 3
	for i := range 10 {
		b.Succeeded(sardine.Millis(i), sardine.Workspace(rune('a'+i)))
	}
	require.Len(t, b.tenants, 3)
}
