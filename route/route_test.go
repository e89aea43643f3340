package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

func engines(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{
			Ref:     Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", i)), Epoch: 1},
			Service: "surtitle", Kind: sardine.KindEngine, Address: fmt.Sprintf("127.0.0.1:%d", i),
		}
	}
	return all
}

func TestPickSkipsIneligibleTargets(t *testing.T) {
	for p := Mixed; p <= Hints; p++ {
		random := rand.New(rand.NewPCG(7, uint64(p)))
		r := New(random, WithPolicy(p))
		all := engines(12)
		for step := range 3000 {
			now := sardine.Millis(step * 10)
			for i := range all {
				all[i].Leaving = random.IntN(3) == 0
				all[i].LeaseUntil = now + sardine.Millis(random.IntN(3)-1)
				if random.IntN(40) == 0 {
					all[i].Epoch++
				}
			}
			shown := all[random.IntN(4):]
			r.Update(now, shown)
			q := Request{Service: "surtitle", PrefixHashes: []uint64{uint64(random.IntN(9))}, PromptTokens: 100, Exclude: []Ref{shown[0].Ref}}
			c, err := r.Pick(now, q)
			if err != nil {
				require.Equal(t, codes.NoTarget, codes.Of(err))
				continue
			}
			require.False(t, c.Candidate.Leaving)
			require.Greater(t, c.Candidate.LeaseUntil, now-1)
			require.NotEqual(t, shown[0].Ref, c.Candidate.Ref)
			require.Contains(t, shown, c.Candidate)
			r.Started(&c, now)
			r.FirstToken(&c, now+5, 64)
			r.Ended(&c, now+9, DispatchResult{OK: random.IntN(2) == 0})
		}
		for _, tt := range r.targets {
			require.Zero(t, tt.inFlight)
			require.Zero(t, tt.pendingPrefill)
		}
	}
}

func TestEjectionKeepsMinimumShare(t *testing.T) {
	r := New(rand.New(rand.NewPCG(3, 3)), WithEjection(2, 1000, 0.5))
	r.Update(0, engines(10))
	for range 500 {
		c, err := r.Pick(0, Request{Service: "surtitle"})
		require.NoError(t, err)
		r.Started(&c, 0)
		r.Ended(&c, 0, DispatchResult{})
	}
	usable := 0
	for _, tt := range r.targets {
		if !tt.outlier.ejected(0) {
			usable++
		}
	}
	require.Equal(t, 5, usable)
}

func TestPlainConcurrencyIsBounded(t *testing.T) {
	r := New(rand.New(rand.NewPCG(3, 4)), WithPlainConcurrency(2))
	r.Update(0, []Candidate{{Ref: Ref{VM: "vm1"}, Service: "shop", Kind: sardine.KindPlain}})
	for range 2 {
		c, err := r.Pick(0, Request{Service: "shop"})
		require.NoError(t, err)
		r.Started(&c, 0)
	}
	_, err := r.Pick(0, Request{Service: "shop"})
	require.Equal(t, codes.NoTarget, codes.Of(err))
}

func TestHintsAreCorrectedByResponses(t *testing.T) {
	r := New(rand.New(rand.NewPCG(3, 5)))
	all := engines(20)
	r.Update(0, all)
	prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	q := Request{Service: "surtitle", PrefixHashes: prefix, PromptTokens: 600}
	r.ReportCacheEvents([]CacheEvent{{Target: all[7].Ref, Stored: prefix}})
	c, err := r.Pick(0, q)
	require.NoError(t, err)
	require.Equal(t, all[7].Ref, c.Candidate.Ref)
	for range 300 {
		c, err = r.Pick(0, q)
		require.NoError(t, err)
		r.Started(&c, 0)
		r.FirstToken(&c, 50, 0)
		r.Ended(&c, 60, DispatchResult{OK: true})
	}
	s := r.services["surtitle"]
	require.Less(t, s.hintShare, 0.1, "hints that never hold are not trusted")
}

// TestCheckDetectsIneligibleTarget seeds a defect: a picked target starts to
// drain.
func TestCheckDetectsIneligibleTarget(t *testing.T) {
	r := New(rand.New(rand.NewPCG(3, 6)))
	r.Update(0, engines(1))
	c, err := r.Pick(0, Request{Service: "surtitle"})
	require.NoError(t, err)
	c.target.candidate.Leaving = true
	require.Equal(t, codes.InvariantBroken, codes.Of(r.check(0, c.target, Request{Service: "surtitle"})))
	_, err = r.Pick(0, Request{Service: "surtitle"})
	require.Equal(t, codes.NoTarget, codes.Of(err))
}

func TestPickHonoursPreferAndAvoid(t *testing.T) {
	r := New(rand.New(rand.NewPCG(3, 7)))
	r.Update(0, engines(6))
	for range 100 {
		c, err := r.Pick(0, Request{Service: "surtitle", Prefer: "g4"})
		require.NoError(t, err)
		require.EqualValues(t, "g4", c.Candidate.Group)
		c, err = r.Pick(0, Request{Service: "surtitle", Prefer: "g4", Avoid: []sardine.GroupID{"g4"}})
		require.NoError(t, err)
		require.NotEqualValues(t, "g4", c.Candidate.Group)
	}
}

// TestNodesAgreeOnConversationTarget guards against losing a conversation's
// cached prefix behind a load balancer that picks entry nodes at random.
func TestNodesAgreeOnConversationTarget(t *testing.T) {
	same := 0
	nodes := make([]*Router, 5)
	for i := range nodes {
		nodes[i] = New(rand.New(rand.NewPCG(9, uint64(i))))
		nodes[i].Update(0, engines(30))
	}
	for k := range 200 {
		q := Request{Service: "surtitle", Conversation: uint64(k + 1), PrefixHashes: []uint64{uint64(k), uint64(k) << 20}, PromptTokens: 128}
		first, err := nodes[k%5].Pick(0, q)
		require.NoError(t, err)
		again, err := nodes[(k+1)%5].Pick(0, q)
		require.NoError(t, err)
		if first.Candidate.Ref == again.Candidate.Ref {
			same++
		}
	}
	require.Equal(t, 200, same)
}

// BenchmarkPick840 measures one pick with its feedback among 840 targets.
func BenchmarkPick840(b *testing.B) {
	r := New(rand.New(rand.NewPCG(9, 9)))
	r.Update(0, engines(840))
	r.SetPosition(3, 350)
	prefix := make([]uint64, 24)
	b.ReportAllocs()
	for i := range b.N {
		for k := range prefix {
			prefix[k] = uint64(i%500)<<8 + uint64(k)
		}
		now := sardine.Millis(i)
		c, err := r.Pick(now, Request{Service: "surtitle", Conversation: uint64(i + 1), PrefixHashes: prefix, PromptTokens: 1500})
		if err != nil {
			b.Fatal(err)
		}
		r.Started(&c, now)
		r.FirstToken(&c, now+50, 1000)
		r.Ended(&c, now+5000, DispatchResult{OK: true})
	}
}
