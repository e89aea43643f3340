package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// Requests that targets have begun come first, then others by priority, then by arrival.
func TestTurnsComeByUrgency(t *testing.T) {
	turns := []*turn{
		{priority: 5, arrived: 1}, {priority: 0, arrived: 3}, {priority: 0, arrived: 2}, {priority: 9, arrived: 0}, {priority: 7, arrived: 9, begun: true},
	}
	queue := &turnQueue{}
	for _, one := range turns {
		one.first = make(chan struct{}, 1)
		queue.add(one)
	}
	var order []*turn
	for len(queue.all) > 0 {
		order = append(order, queue.all[0])
		queue.remove(queue.all[0])
	}
	require.Equal(t, []*turn{turns[4], turns[2], turns[1], turns[0], turns[3]}, order)
}

// limitedGate returns the gate of the only entry node of a site with a target that has
// stated a limit of two requests per second, and others that have none.
func limitedGate(others ...sardine.VMID) (*gate, *clock.Virtual, route.Request) {
	k := clock.NewVirtual(1000)
	random := rand.New(rand.NewPCG(1, 1))
	g := newGate("e1", k, random, route.New(random))
	v := emptyView()
	key := serviceKey{"t", "app"}
	c := route.Candidate{
		Ref: route.Ref{VM: "w1", Incarnation: 1}, Service: key.routeName(), Kind: sardine.KindPlain, Head: "w1", HeadIncarnation: 1,
	}
	v.nodes = []sardine.NodeID{"e1"}
	v.candidates[key] = []route.Candidate{c}
	for _, vm := range others {
		c.VM, c.Head = vm, vm
		v.candidates[key] = append(v.candidates[key], c)
	}
	c = v.candidates[key][0]
	g.update(v)
	g.observeLimit(k.Now(), limitTarget(c), sardine.Reply{Limit: 2, HasLimit: true}, true)
	return g, k, route.Request{Service: key.routeName()}
}

// Guards against dispatches that are not sent and use up a target's limit, and against
// those that are sent and do not.
func TestOnlySentDispatchesCountAgainstALimit(t *testing.T) {
	for name, sent := range map[string]bool{"sent": true, "not sent": false} {
		t.Run(name, func(t *testing.T) {
			g, k, q := limitedGate()
			k.Advance(600)
			choice, err := g.pick(q)
			require.NoError(t, err)
			if sent {
				limitObserver{node: &Node{gate: g}, choice: choice}.Sent()
			}
			g.finish(choice, route.DispatchResult{Canceled: true})
			_, err = g.pick(q)
			require.Equal(t, sent, codes.Is(err, codes.TargetLimited))
			require.Empty(t, g.limits.reserved[choice])
		})
	}
}

// Guards against callers that are asked to come back before or long after the next turn.
func TestLimitedRequestsAreToldWhenTheirTurnIs(t *testing.T) {
	g, k, q := limitedGate()
	_, err := g.pick(q)
	wait, limited := limitWait(err)
	require.True(t, limited, "%v", err)
	require.Equal(t, 503, codes.Of(err).Status())
	k.Advance(wait - 10)
	_, err = g.pick(q)
	require.True(t, codes.Is(err, codes.TargetLimited), "%v", err)
	k.Advance(20)
	_, err = g.pick(q)
	require.NoError(t, err)

	behind := &turn{service: q.Service, until: k.Now() + 10*sardine.Second, priority: 1}
	require.NoError(t, g.joinTurns(behind))
	refused := &turn{service: q.Service, until: k.Now() + 900, priority: 1, arrived: 1}
	wait, limited = limitWait(g.joinTurns(refused))
	require.True(t, limited, "two turns are not free in 0.9 s")
	require.InDelta(t, 1000, float64(wait), 100)
	refused.priority = 0
	require.NoError(t, g.joinTurns(refused), "it is more urgent")
	require.True(t, g.isNext(refused))
}

// Guards against requests that may not use a target without a limit because a more
// urgent one waits for a turn at another target.
func TestRequestsYieldOnlyTargetsWithALimit(t *testing.T) {
	g, k, q := limitedGate("w2")
	k.Advance(600)
	require.NoError(t, g.joinTurns(&turn{service: q.Service, until: k.Now() + 900, begun: true}))
	n := &Node{gate: g, clock: k}
	for range 20 {
		choice, err := n.inTurn(t.Context(), &turn{service: q.Service}, func(yielded []route.Ref) (*route.Choice, error) {
			q.Exclude = yielded
			return g.pick(q)
		})
		require.NoError(t, err)
		require.Equal(t, sardine.VMID("w2"), choice.Candidate.VM)
	}
}
