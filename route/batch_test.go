package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// picksPerGroup lets the given number of entry nodes, all with the same load
// reports, route one request each, and returns how many requests each group
// received. The first group is idle.
func picksPerGroup(t *testing.T, nodes, groups int) []int {
	received := make([]int, groups)
	index := make(map[Ref]int)
	all := engines(groups)
	for i, c := range all {
		index[c.Ref] = i
	}
	for n := range nodes {
		r := New(rand.New(rand.NewPCG(1, uint64(n))), WithPolicy(Batch), WithHints(0))
		r.SetPosition(n, nodes)
		r.Update(0, all)
		for i, c := range all[1:] {
			r.ReportLoad(0, c.Ref, sardine.Load{Running: 8 + i%5})
		}
		c, err := r.Pick(1, Request{Service: "surtitle", PromptTokens: 100})
		require.NoError(t, err)
		r.Started(&c, 1)
		received[index[c.Candidate.Ref]]++
	}
	return received
}

// TestManyNodesDoNotOverloadIdleTarget guards against herding: between two
// load reports, each of 69 entry nodes sends a request to the one group that
// is idle by the last report.
func TestManyNodesDoNotOverloadIdleTarget(t *testing.T) {
	received := picksPerGroup(t, 69, 30)
	most, sum := 0, 0
	for _, n := range received {
		most = max(most, n)
		sum += n
	}
	require.Equal(t, 69, sum)
	require.LessOrEqual(t, most, 2*herdLimit)
	require.Greater(t, received[0], 69/30, "it still gets more than its share")
}

// TestFewNodesPickLeastLoadedTarget checks that 9 nodes, too few to overload
// a group, all use the idle one.
func TestFewNodesPickLeastLoadedTarget(t *testing.T) {
	require.Equal(t, 9, picksPerGroup(t, 9, 8)[0])
}

// TestManyNodesSpreadPromptsByLoad guards against herding with few groups:
// each of 69 nodes picks the least loaded one by the same reports, and that
// group receives two fifths of all prompts and cannot prefill them in time.
func TestManyNodesSpreadPromptsByLoad(t *testing.T) {
	const nodes, picks = 69, 100
	groups := engines(5)
	received := make(map[Ref]float64)
	for n := range nodes {
		r := New(rand.New(rand.NewPCG(1, uint64(n))), WithPolicy(Batch), WithHints(0))
		r.SetPosition(n, nodes)
		r.SetEngine("surtitle", Engine{Slots: 30, PrefillPer1K: 20})
		r.Update(0, groups)
		for i, g := range groups {
			r.ReportLoad(1, g.Ref, sardine.Load{Running: 10 + 4*i})
		}
		for i := range sardine.Millis(picks) {
			c, err := r.Pick(2000*i, Request{Service: "surtitle", PromptTokens: 1500})
			require.NoError(t, err)
			received[c.Candidate.Ref] += 1.0 / (nodes * picks)
		}
	}
	for i, g := range groups {
		t.Logf("group %d: %.3f", i, received[g.Ref])
	}
	least, most := received[groups[0].Ref], received[groups[4].Ref]
	require.Less(t, least, 0.3, "the least loaded")
	require.Greater(t, least, 0.22)
	require.Less(t, most, 0.18, "the most loaded")
	require.Greater(t, most, 0.1)
}

// batchNode returns the router of one entry node of a small site whose groups
// prefill 1,000 prompt tokens in 18 ms.
func batchNode(seed uint64, groups []Candidate) *Router {
	r := New(rand.New(rand.NewPCG(7, seed)), WithPolicy(Batch), WithHints(0))
	r.SetPosition(int(seed), 9)
	r.SetEngine("surtitle", Engine{Slots: 26, PrefillPer1K: 18})
	r.Update(0, groups)
	return r
}

// send routes one request that is answered at once and returns the index of
// its group.
func send(t *testing.T, r *Router, now sardine.Millis, prompt int, groups []Candidate) int {
	c, err := r.Pick(now, Request{Service: "surtitle", PromptTokens: prompt})
	require.NoError(t, err)
	r.Started(&c, now)
	r.FirstToken(&c, now, CachedUnknown)
	r.Ended(&c, now, DispatchResult{OK: true})
	for i, g := range groups {
		if g.Ref == c.Candidate.Ref {
			return i
		}
	}
	t.Fatal("not a group of the site")
	return -1
}

// TestReformedGroupIsNotFlooded guards against all nine entry nodes of a site
// sending their requests to the sixth group, which comes back idle under
// load. In its first 300 ms it may get at most twice its share.
func TestReformedGroupIsNotFlooded(t *testing.T) {
	groups := engines(6)
	received, sent := 0, 0
	for n := range uint64(9) {
		r := batchNode(n, groups[1:])
		now := sardine.Millis(0)
		for ; now < 3000; now += 150 {
			send(t, r, now, 1600, groups)
		}
		r.Update(now, groups)
		for _, g := range groups[1:] {
			r.ReportLoad(now, g.Ref, sardine.Load{Running: 14})
		}
		for end := now + 300; now < end; now += 150 {
			sent++
			if send(t, r, now, 1600, groups) == 0 {
				received++
			}
		}
	}
	require.LessOrEqual(t, received, 2*sent/len(groups))
}

// TestPrefillIsSpreadEvenly sends prompts of very different lengths and
// checks that the groups get about the same number of tokens, not of
// requests.
func TestPrefillIsSpreadEvenly(t *testing.T) {
	groups := engines(4)
	random := rand.New(rand.NewPCG(3, 3))
	r := batchNode(0, groups)
	tokens := make([]int, len(groups))
	total := 0
	for now := sardine.Millis(0); now < 60_000; now += 150 {
		prompt := 200
		if random.IntN(8) == 0 {
			prompt = 5000
		}
		tokens[send(t, r, now, prompt, groups)] += prompt
		total += prompt
	}
	for i, n := range tokens {
		require.InDelta(t, total/len(groups), n, 0.1*float64(total)/float64(len(groups)), "group %d", i)
	}
}

// TestFullBatchIsAvoided has one group of six whose batch is full because its
// requests end slowly.
func TestFullBatchIsAvoided(t *testing.T) {
	groups := engines(6)
	r := batchNode(0, groups)
	for i, g := range groups {
		r.ReportLoad(0, g.Ref, sardine.Load{Running: 12 + 14*(1-min(i, 1)), Queued: 4 * (1 - min(i, 1))})
	}
	for now := sardine.Millis(0); now < 1500; now += 150 {
		require.NotZero(t, send(t, r, now, 1600, groups))
	}
}

// TestBurstIsNotSaturation distinguishes engines that are full for a moment
// from engines that stay full.
func TestBurstIsNotSaturation(t *testing.T) {
	groups := engines(4)
	r := batchNode(0, groups)
	saturated := func(now sardine.Millis, running int) bool {
		for _, g := range groups {
			r.ReportLoad(now, g.Ref, sardine.Load{Running: running})
		}
		c, err := r.Pick(now, Request{Service: "surtitle", PromptTokens: 100})
		require.NoError(t, err)
		return c.Saturated
	}
	require.False(t, saturated(1000, 26), "first report")
	require.False(t, saturated(1400, 26))
	require.False(t, saturated(2000, 10), "it was a burst")
	require.False(t, saturated(3000, 26))
	require.False(t, saturated(3400, 26))
	require.True(t, saturated(3500, 26))
	require.True(t, saturated(9000, 30))
	require.False(t, saturated(9100, 22), "some have free slots")
}
