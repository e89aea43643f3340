package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// crowd lets so many entry nodes with the same reports place one request each,
// and returns how many came to each of the groups. The first group is idle.
func crowd(t *testing.T, nodes, groups int) []int {
	came := make([]int, groups)
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
			r.Load(0, c.Ref, sardine.Load{Running: 8 + i%5})
		}
		c, err := r.Pick(1, Request{Service: "surtitle", PromptTokens: 100})
		require.NoError(t, err)
		r.Started(&c, 1)
		came[index[c.Candidate.Ref]]++
	}
	return came
}

// TestManyNodesDoNotCrowdOneTarget is the pattern of 69 entry nodes between two
// reports of what all have in flight: the group that is idle by the reports must
// not get a request of each.
func TestManyNodesDoNotCrowdOneTarget(t *testing.T) {
	came := crowd(t, 69, 30)
	most, sum := 0, 0
	for _, n := range came {
		most = max(most, n)
		sum += n
	}
	require.Equal(t, 69, sum)
	require.LessOrEqual(t, most, 2*crowdMost)
	require.Greater(t, came[0], 69/30, "it still gets more than its share")
}

// TestFewNodesTakeTheLeastLoaded is the pattern of today's sites.
func TestFewNodesTakeTheLeastLoaded(t *testing.T) {
	require.Equal(t, 9, crowd(t, 9, 8)[0])
}

// TestPromptsOfManyNodesAreLevelled guards against the incident SHORT: few groups of
// which each of 69 nodes took the least loaded by the same reports. It got two fifths of
// all prompts, which its passes could not read in time.
func TestPromptsOfManyNodesAreLevelled(t *testing.T) {
	const nodes, picks = 69, 100
	groups := engines(5)
	came := make(map[Ref]float64)
	for n := range nodes {
		r := New(rand.New(rand.NewPCG(1, uint64(n))), WithPolicy(Batch), WithHints(0))
		r.SetPosition(n, nodes)
		r.SetEngine("surtitle", Engine{Slots: 30, Read: 20})
		r.Update(0, groups)
		for i, g := range groups {
			r.Load(1, g.Ref, sardine.Load{Running: 10 + 4*i})
		}
		for i := range sardine.Millis(picks) {
			c, err := r.Pick(2000*i, Request{Service: "surtitle", PromptTokens: 1500})
			require.NoError(t, err)
			came[c.Candidate.Ref] += 1.0 / (nodes * picks)
		}
	}
	for i, g := range groups {
		t.Logf("group %d: %.3f", i, came[g.Ref])
	}
	least, most := came[groups[0].Ref], came[groups[4].Ref]
	require.Less(t, least, 0.3, "the least loaded")
	require.Greater(t, least, 0.22)
	require.Less(t, most, 0.18, "the most loaded")
	require.Greater(t, most, 0.1)
}

// batchNode is one entry node of a small site with groups that read 1,000 prompt
// tokens in 18 ms.
func batchNode(seed uint64, groups []Candidate) *Router {
	r := New(rand.New(rand.NewPCG(7, seed)), WithPolicy(Batch), WithHints(0))
	r.SetPosition(int(seed), 9)
	r.SetEngine("surtitle", Engine{Slots: 26, Read: 18})
	r.Update(0, groups)
	return r
}

// send lets the node send one request that is answered at once, and returns the
// place of its target among the groups.
func send(t *testing.T, r *Router, now sardine.Millis, prompt int, groups []Candidate) int {
	c, err := r.Pick(now, Request{Service: "surtitle", PromptTokens: prompt})
	require.NoError(t, err)
	r.Started(&c, now)
	r.FirstToken(&c, now, UnknownCached)
	r.Ended(&c, now, End{OK: true})
	for i, g := range groups {
		if g.Ref == c.Candidate.Ref {
			return i
		}
	}
	t.Fatal("not a group of the site")
	return -1
}

// TestAGroupThatFormsAgainIsNotFlooded is the pattern of a site of nine entry
// nodes whose sixth group comes back under load, idle: in the first 300 ms it gets
// its share, not what all nodes have.
func TestAGroupThatFormsAgainIsNotFlooded(t *testing.T) {
	groups := engines(6)
	came, sent := 0, 0
	for n := range uint64(9) {
		r := batchNode(n, groups[1:])
		now := sardine.Millis(0)
		for ; now < 3000; now += 150 {
			send(t, r, now, 1600, groups)
		}
		r.Update(now, groups)
		for _, g := range groups[1:] {
			r.Load(now, g.Ref, sardine.Load{Running: 14})
		}
		for end := now + 300; now < end; now += 150 {
			sent++
			if send(t, r, now, 1600, groups) == 0 {
				came++
			}
		}
	}
	require.LessOrEqual(t, came, 2*sent/len(groups))
}

// TestReadingIsSpread is the pattern of prompts of very different length: each
// group gets about the same number of tokens, not of requests.
func TestReadingIsSpread(t *testing.T) {
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

// TestAFullBatchGetsNothingWhileOthersHaveRoom is the pattern of groups of which
// one is slow to end its requests.
func TestAFullBatchGetsNothingWhileOthersHaveRoom(t *testing.T) {
	groups := engines(6)
	r := batchNode(0, groups)
	for i, g := range groups {
		r.Load(0, g.Ref, sardine.Load{Running: 12 + 14*(1-min(i, 1)), Queued: 4 * (1 - min(i, 1))})
	}
	for now := sardine.Millis(0); now < 1500; now += 150 {
		require.NotZero(t, send(t, r, now, 1600, groups))
	}
}

// TestBurstIsNoStandingQueue is the pattern of engines that are full for a moment, and
// of ones that stay full.
func TestBurstIsNoStandingQueue(t *testing.T) {
	groups := engines(4)
	r := batchNode(0, groups)
	standing := func(now sardine.Millis, running int) bool {
		for _, g := range groups {
			r.Load(now, g.Ref, sardine.Load{Running: running})
		}
		c, err := r.Pick(now, Request{Service: "surtitle", PromptTokens: 100})
		require.NoError(t, err)
		return c.Standing
	}
	require.False(t, standing(1000, 26), "the first look")
	require.False(t, standing(1400, 26))
	require.False(t, standing(2000, 10), "it was a burst")
	require.False(t, standing(3000, 26))
	require.False(t, standing(3400, 26))
	require.True(t, standing(3500, 26))
	require.True(t, standing(9000, 30))
	require.False(t, standing(9100, 22), "some have room")
}
