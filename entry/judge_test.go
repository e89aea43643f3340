package entry

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"

	sardine "sardineswitch.dev/sardine"
)

// TestCrashOfAllTargetsCountsOnceTheFirstIsBack guards against losses that never count
// because the first target that is back is one of those that had refused connections.
func TestCrashOfAllTargetsCountsOnceTheFirstIsBack(t *testing.T) {
	back, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer back.Close()
	addresses := map[sardine.VMID]string{"back": back.Addr().String()}
	for _, vm := range []sardine.VMID{"gone1", "gone2"} {
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, gone.Close())
		addresses[vm] = gone.Addr().String()
	}

	k := clock.NewVirtual(1000)
	n := &Node{clock: k, log: logs.Discard(), id: "e1", baseCtx: context.Background()}
	n.published.Store(&published{view: emptyView()})
	n.meter, err = newInstruments(n)
	require.NoError(t, err)
	n.links, n.checks, n.strikes = newIsolation(n), newChecks(n), newStrikes(n)
	f := guard.FingerprintOf([]byte("body"))
	n.links.lostAt = 1000
	for vm, address := range addresses {
		ref := route.Ref{VM: vm, Incarnation: 1}
		d := dispatched{candidate: route.Candidate{Ref: ref, Address: address}, processes: []sardine.Member{{VM: vm, Incarnation: 1}}}
		check := n.checks.begin(d, false)
		n.checks.addLoss(check, guard.Loss{Fingerprint: f, Failure: state.TargetFailure(ref), At: k.Now()})
		n.links.refusers = append(n.links.refusers, address)
	}
	v := emptyView()
	v.targetStates["back"] = targetState{incarnation: 2} // it has started again
	v.targetStates["gone1"], v.targetStates["gone2"] = targetState{incarnation: 1}, targetState{incarnation: 1}
	n.published.Store(&published{view: v})
	n.links.judge()
	require.Len(t, n.checks.all, len(addresses))
	n.checks.drain()
	n.checks.tick()
	require.Equal(t, 1, n.strikes.failureCount(f), "the one that has started again")
}
