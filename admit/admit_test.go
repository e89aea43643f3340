package admit

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

func TestSharesFollowWeights(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)), WithLimit(10, 10, 10), WithQueue(400, 1e9))
	c.SetWeights(map[sardine.Workspace]float64{"large": 3})
	served := map[sardine.Workspace]int{}
	owner := map[Ticket]sardine.Workspace{}
	var running []Ticket
	for now := range sardine.Millis(4000) {
		for _, w := range []sardine.Workspace{"large", "small"} {
			d := c.Offer(now, Request{Service: "s", Workspace: w, Priority: sardine.PriorityNormal, Cost: 10})
			owner[d.Ticket] = w
			if d.Verdict == Admit {
				running = append(running, d.Ticket)
			}
		}
		if len(running) > 0 {
			served[owner[running[0]]]++
			require.NoError(t, c.Done(now, running[0], 10, Answered))
			running = running[1:]
		}
		for _, d := range c.Next(now) {
			if d.Verdict == Admit {
				running = append(running, d.Ticket)
			}
		}
	}
	require.InDelta(t, 3, float64(served["large"])/float64(served["small"]), 0.3)
}

func TestMinSharesServeLowerClasses(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 2)), WithLimit(1, 1, 1), WithQueue(100000, 1e9), WithLiveShare(0))
	kind := map[Ticket]sardine.Priority{}
	first := c.Offer(0, Request{Service: "s"})
	for range 2000 {
		for _, p := range []sardine.Priority{sardine.PriorityBatch, sardine.PriorityNormal, sardine.PriorityLive} {
			kind[c.Offer(0, Request{Service: "s", Workspace: "w", Priority: p}).Ticket] = p
		}
	}
	served := map[sardine.Priority]int{}
	ticket := first.Ticket
	for range 1000 {
		require.NoError(t, c.Done(0, ticket, 10, Answered))
		d := c.Next(0)
		require.Len(t, d, 1)
		ticket = d[0].Ticket
		served[kind[ticket]]++
	}
	require.Greater(t, served[sardine.PriorityBatch], 30)
	require.Greater(t, served[sardine.PriorityNormal], 100)
	require.Greater(t, served[sardine.PriorityLive], 700)
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 3)))
	d := c.Offer(0, Request{Service: "s", Deadline: 100, Expected: 200})
	require.Equal(t, Refuse, d.Verdict)
	require.Equal(t, codes.DeadlineTight, d.Code)
	require.Positive(t, d.RetryAfter)
}

// TestCountsStayConsistentUnderRandomCalls offers, ends and cancels requests
// at random, calls Check after each step and expects exactly one verdict for
// each ticket.
func TestCountsStayConsistentUnderRandomCalls(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 4))
		c := New(random, WithQueue(20, 400))
		waiting, running := map[Ticket]bool{}, []Ticket{}
		take := func(all []Decision) {
			for _, d := range all {
				require.True(t, waiting[d.Ticket])
				delete(waiting, d.Ticket)
				if d.Verdict == Admit {
					running = append(running, d.Ticket)
				}
			}
		}
		for step := range 3000 {
			now := sardine.Millis(step * 7)
			switch random.IntN(4) {
			case 0, 1:
				r := Request{Service: sardine.ServiceName(rune('a' + random.IntN(2))), Workspace: sardine.Workspace(rune('a' + random.IntN(5))), Priority: sardine.Priority(1 + random.IntN(3)), Cost: random.Float64() * 100}
				if random.IntN(2) == 0 {
					r.Deadline = now + sardine.Millis(random.IntN(500))
				}
				d := c.Offer(now, r)
				if d.Verdict == Wait {
					waiting[d.Ticket] = true
				}
				if d.Verdict == Admit {
					running = append(running, d.Ticket)
				}
			case 2:
				if len(running) > 0 {
					require.NoError(t, c.Done(now, running[0], sardine.Millis(random.IntN(300)), Outcome(1+random.IntN(4))))
					running = running[1:]
				}
			default:
				for ticket := range waiting {
					require.True(t, c.Cancel(ticket))
					delete(waiting, ticket)
					break
				}
				take(c.Tick(now))
			}
			take(c.Next(now))
			require.NoError(t, c.Check())
		}
	}
}

func TestCheckDetectsWrongCount(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 5)))
	c.Offer(0, Request{Service: "s"})
	c.gates["s"].inFlight-- // seeded defect
	require.Equal(t, codes.InvariantBroken, codes.Of(c.Check()))
}
