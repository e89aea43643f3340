package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func TestOnlyIdempotentRequestsRunTwice(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 1)))
	for _, ran := range []sardine.Ran{sardine.RanUnknown, sardine.RanYes} {
		require.Equal(t, NotIdempotent, b.MayRetry(0, "w", ran, false, 1).Reason)
		require.True(t, b.MayRetry(0, "w", ran, true, 1).Retry)
	}
	require.True(t, b.MayRetry(0, "w", sardine.RanNo, false, 1).Retry)
	require.Equal(t, Exhausted, b.MayRetry(0, "w", sardine.RanNo, true, 3).Reason)
}

// callsPerRequest runs requests of whose dispatches the given share fails,
// with retries as the budget allows, and returns the mean number of
// dispatches per request.
func callsPerRequest(b *Budget, failing float64, random *rand.Rand) float64 {
	calls, requests := 0, 20000
	for i := range requests {
		w := sardine.Workspace(rune('a' + i%10))
		for attempt := 1; ; attempt++ {
			calls++
			if random.Float64() >= failing {
				b.Succeeded(0, w)
				break
			}
			if !b.MayRetry(0, w, sardine.RanNo, true, attempt).Retry {
				break
			}
		}
	}
	return float64(calls) / float64(requests)
}

// TestRetriesNeverStorm fails some, half and all dispatches. The seeded
// defect is a budget that earns a whole retry per success and is never empty.
func TestRetriesNeverStorm(t *testing.T) {
	for _, failing := range []float64{0.05, 0.33, 0.5, 1} {
		random := rand.New(rand.NewPCG(1, 2))
		require.LessOrEqual(t, callsPerRequest(New(random), failing, random), 1.1, "%v fail", failing)
	}
	random := rand.New(rand.NewPCG(1, 2))
	defect := New(random, WithRatio(1), WithBalances(1e9, 1e9))
	require.Greater(t, callsPerRequest(defect, 0.5, random), 1.1)
}

// TestRetriesNeverStormOverRestarts guards against a node that gets a full
// balance of retries at each start: every dispatch fails, and the process
// restarts repeatedly.
func TestRetriesNeverStormOverRestarts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	calls, requests := 0, 0
	for range 200 {
		b := New(random)
		for i := range 50 {
			w := sardine.Workspace(rune('a' + i%10))
			requests++
			calls++
			for attempt := 1; b.MayRetry(0, w, sardine.RanNo, true, attempt).Retry; attempt++ {
				calls++
			}
		}
	}
	require.LessOrEqual(t, float64(calls)/float64(requests), 1.1)
}

func TestBackoffIsBounded(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 4)), WithAttempts(1000), WithBalances(1e9, 1e9), WithBackoff(10, 300))
	for attempts := range 100 {
		require.LessOrEqual(t, b.MayRetry(0, "w", sardine.RanNo, true, attempts).After, sardine.Millis(300))
	}
}

func TestTenantsAreBounded(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 3)))
	b.options.maxTenants = 3
	for i := range 10 {
		b.Succeeded(sardine.Millis(i), sardine.Workspace(rune('a'+i)))
	}
	require.Len(t, b.tenants, 3)
}
