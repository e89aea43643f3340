package trace

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

func TestRingKeepsTheLastRecords(t *testing.T) {
	r := NewRing()
	for n := uint64(1); n <= Capacity+1; n++ {
		r.Begin(n, ID("osu-entry-1", 7, n), sardine.Millis(n))
	}
	require.Nil(t, r.Find(1), "overwritten")
	require.Nil(t, r.Find(Capacity+2), "not added yet")
	require.Equal(t, ID("osu-entry-1", 7, 2), r.Find(2).ID())
}

func TestAccount(t *testing.T) {
	k := NewRing().Begin(3, ID("e", 1, 3), 100)
	k.SetService("stage", "surtitle")
	k.SetQueueTime(5)
	for i := range maxListed + 2 {
		k.AddDispatch(sardine.Millis(110+i), route.Ref{Group: "g-1", Epoch: 4})
	}
	require.Equal(t, sardine.RanUnknown.String(), k.Account("e", 120).Ran, "the request still runs")
	k.SetFirstToken(130)
	k.SetFirstToken(140)
	k.Finish(150, Outcome{Code: codes.StreamBroken, Ran: sardine.RanYes, Tokens: 9, CallerLeft: true})
	a := k.Account("e", 200)
	require.Equal(t, StepRow{Target: "g-1@4", After: 10}, a.Dispatches[0])
	require.Len(t, a.Dispatches, maxListed)
	require.Equal(t, 2, a.Unnamed)
	require.Equal(t, []int64{100, 5, 30, 50}, []int64{a.Age, a.Waited, a.First, a.Took})
	require.Equal(t, "stream_broken", a.CodeName)
	require.True(t, a.CallerLeft)
}

func TestIDs(t *testing.T) {
	node, incarnation, number, err := ParseID(ID("joao_pessoa-entry-1", 0x19af, 255))
	require.NoError(t, err)
	require.Equal(t, sardine.NodeID("joao_pessoa-entry-1"), node)
	require.Equal(t, sardine.Incarnation(0x19af), incarnation)
	require.Equal(t, uint64(255), number)
	for _, bad := range []sardine.RequestID{"", "-", "e-1", "-1-2", "e-x-1", "e-1-", "e-1-x"} {
		_, _, _, err := ParseID(bad)
		require.True(t, codes.Is(err, codes.BadRequest), bad)
	}
}

// TestOneAllocation checks that recording a whole request allocates memory only for
// its record.
func TestOneAllocation(t *testing.T) {
	r, n := NewRing(), uint64(0)
	require.Equal(t, 1.0, testing.AllocsPerRun(100, func() {
		n++
		recordRequest(r, n)
	}))
}

func recordRequest(r *Ring, n uint64) {
	k := r.Begin(n, "e-1-1", 1)
	k.SetService("stage", "surtitle")
	k.SetQueueTime(1)
	k.AddDispatch(2, route.Ref{Group: "g", Epoch: 1})
	k.SetFirstToken(3)
	k.Finish(4, Outcome{Ran: sardine.RanYes, Tokens: 5})
}

func BenchmarkRequest(b *testing.B) {
	r := NewRing()
	b.ReportAllocs()
	for i := range b.N {
		recordRequest(r, uint64(i))
	}
}

func BenchmarkRequestParallel(b *testing.B) {
	r := NewRing()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for n := uint64(0); p.Next(); n++ {
			recordRequest(r, n)
		}
	})
}
