package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/uplink"
	"sardineswitch.dev/sardine/vital"
)

// linkedNode returns a node that can only judge its links.
func linkedNode(s uplink.State) *Node {
	n := &Node{clock: clock.NewVirtual(1000)}
	n.links = newIsolation(n)
	n.links.state.Store(int32(s))
	return n
}

// Guards against groups that are dissolved, and limits that are divided by the wrong demand,
// because a node that has lost its links reports what it observes.
func TestIsolatedNodeReportsNoStalls(t *testing.T) {
	ref := route.Ref{Group: "g1", Epoch: 1}
	for state, want := range map[uplink.State]struct {
		stalled bool
		demands int
	}{
		uplink.Connected: {true, 1},
		uplink.Suspected: {false, 1},
		uplink.Isolated:  {false, 0},
	} {
		observations := []vital.Observation{{Ref: ref, InFlight: 2, ProgressAge: 700, Stalled: true}}
		limits := quota.Report{Limits: make([]quota.KnownLimit, 1), Demands: make([]quota.Demand, 1)}
		observations, limits = linkedNode(state).trusted(observations, limits)
		require.Equal(t, []vital.Observation{{Ref: ref, InFlight: 2, ProgressAge: 700, Stalled: want.stalled}}, observations, state)
		require.Len(t, limits.Demands, want.demands, state)
		require.Len(t, limits.Limits, 1, state)
	}
}

// Guards against attempts that count against a request once their target leaves, because a
// node that has lost its links took it for failed.
func TestLossesOfIsolatedNodeDoNotCount(t *testing.T) {
	n := linkedNode(uplink.Connected)
	n.checks = newChecks(n)
	l := losses{node: n, request: "r"}
	target := func(vm sardine.VMID) dispatched {
		return dispatched{candidate: route.Candidate{Ref: route.Ref{VM: vm, Incarnation: 1}}}
	}
	l.recordSilence(target("before"), 0)
	n.clock.(*clock.Virtual).Advance(1000)
	l.recordSilence(target("meanwhile"), 0)
	l.failed()
	require.Len(t, n.checks.all, 2)
	n.checks.discard(1500)
	require.Len(t, n.checks.all, 1)
	for ref, k := range n.checks.all {
		require.EqualValues(t, "before", ref.VM)
		require.Len(t, k.pending, 1)
	}
	n.links.state.Store(int32(uplink.Isolated))
	n.published.Store(&published{view: emptyView()}) // the log has dropped the target
	n.checks.tick()
	require.Len(t, n.checks.all, 1, "not judged before the isolation has ended")
	l.recordSilence(target("later"), 0)
	l.recordLoss(context.Background(), target("later"), 0, errTargetError)
	require.Len(t, n.checks.all, 1)
}

// TestNodeIsOneOfThreeStates checks what others of the package ask for.
func TestNodeIsOneOfThreeStates(t *testing.T) {
	for _, s := range []uplink.State{uplink.Connected, uplink.Suspected, uplink.Isolated} {
		n := linkedNode(s)
		require.Equal(t, s == uplink.Connected, n.linksTrusted())
		require.Equal(t, s == uplink.Suspected, n.isolationSuspected())
		require.Equal(t, s == uplink.Isolated, n.isolated())
	}
}

// TestConnectErrors checks which errors of a connect show that nobody answers.
func TestConnectErrors(t *testing.T) {
	dial := func(err error) error { return &net.OpError{Op: "dial", Err: err} }
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	<-ctx.Done()
	for _, err := range []error{dial(syscall.ETIMEDOUT), dial(ctx.Err()), ctx.Err(), codes.Wrap(codes.NoTarget, dial(ctx.Err()), "x")} {
		require.True(t, isTimeout(err), "%v", err)
	}
	for _, err := range []error{dial(syscall.ECONNREFUSED), dial(syscall.ECONNRESET), dial(syscall.ENETUNREACH), errors.New("x")} {
		require.False(t, isTimeout(err), "%v", err)
	}
}
