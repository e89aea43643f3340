package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// TestLimitHoldsOverLossyReports drops, delays and repeats reports and grants
// at random and moves the demand between nodes. The sum of the rates applied
// at any time must not exceed the limit.
func TestLimitHoldsOverLossyReports(t *testing.T) {
	limit := Rate{Requests: 100, Tokens: 5000}
	limits := map[sardine.Workspace]Rate{"w": limit}
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		lender := NewAllocator(0, 1)
		lender.Configure(limits)
		nodes := make([]*Limiter, 9)
		for i := range nodes {
			nodes[i] = NewLimiter(sardine.NodeID(fmt.Sprint("n", i)), random)
			nodes[i].Configure(0, len(nodes), limits)
		}
		type delivery struct {
			node       int
			at, asked  sardine.Millis
			grant      Grant
			delivering bool
		}
		var deliveries []delivery
		for now := sardine.Millis(0); now < 60000; now += 100 {
			hot := int(now / 10000 % 9)
			for i, n := range nodes {
				for range random.IntN(3) + 20*btoi(i == hot) {
					n.Take(now, "w", 50)
				}
				if now%1000 == 0 {
					r := n.Report(now)
					if random.IntN(5) > 0 {
						g := lender.Report(now, r)
						require.NoError(t, lender.Check(now))
						deliveries = append(deliveries, delivery{node: i, at: now + sardine.Millis(random.IntN(6000)), asked: now, grant: g, delivering: random.IntN(5) > 0})
					}
				}
			}
			for _, f := range deliveries {
				if f.delivering && f.at == now/100*100 || f.at > now-100 && f.at <= now && f.delivering {
					nodes[f.node].ApplyGrant(now, f.asked, f.grant)
				}
			}
			total := 0.0
			for _, n := range nodes {
				n.expire(now)
				total += n.accounts["w"].requests.rate
			}
			require.LessOrEqual(t, total, limit.Requests*1.0001)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestCheckDetectsOverallocation seeds a defect: a grant that ignores those
// of the other nodes.
func TestCheckDetectsOverallocation(t *testing.T) {
	l := NewAllocator(0, 1)
	l.Configure(map[sardine.Workspace]Rate{"w": {Requests: 100}})
	for i := range 3 {
		l.Report(GrantTerm, Report{Node: sardine.NodeID(fmt.Sprint(i)), Demands: []Demand{{Workspace: "w", Wanted: Rate{Requests: 90}}}})
	}
	require.NoError(t, l.Check(GrantTerm))
	l.clients["0"].openGrants[0].shares["w"] = Rate{Requests: 91}
	require.Equal(t, codes.InvariantBroken, codes.Of(l.Check(GrantTerm)))
}

func TestTokensAreSettledAtTheEnd(t *testing.T) {
	l := NewLimiter("n", rand.New(rand.NewPCG(1, 2)))
	l.Configure(0, 1, map[sardine.Workspace]Rate{"w": {Tokens: 10000}})
	require.True(t, l.Take(0, "w", 100).Allowed)
	l.Settle(0, "w", 5000)
	d := l.Take(0, "w", 100)
	require.False(t, d.Allowed)
	require.Positive(t, d.RetryAfter)
	require.True(t, l.Take(6000, "w", 100).Allowed)
	require.True(t, l.Take(0, "other", 1e9).Allowed, "no limit")
}

// TestReserveFollowsNumberOfNodes adds nodes while a grant is applied.
func TestReserveFollowsNumberOfNodes(t *testing.T) {
	limits := map[sardine.Workspace]Rate{"w": {Requests: 100}}
	l := NewLimiter("n", rand.New(rand.NewPCG(1, 3)))
	l.Configure(0, 1, limits)
	l.ApplyGrant(0, 0, Grant{Number: 1, Term: GrantTerm, Shares: []Share{{Workspace: "w", Rate: Rate{Requests: 50}}}})
	require.InDelta(t, 60, l.accounts["w"].requests.rate, 1e-9)
	l.Configure(0, 10, limits)
	require.InDelta(t, 51, l.accounts["w"].requests.rate, 1e-9)
	l.expire(GrantTerm)
	require.InDelta(t, 1, l.accounts["w"].requests.rate, 1e-9)
}
