package ctrl

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// submitNow submits a command as an entry node does, with a bound on the time.
func (n *Node) submitNow(c state.Command, most time.Duration) (state.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	return n.submit(ctx, state.ToWire(0, c))
}

// TestRepeatedCommandsAddNoLogEntries guards against a log entry for each entry node that
// asks for a probe which another one has, or reports the same failure of a target.
func TestRepeatedCommandsAddNoLogEntries(t *testing.T) {
	n := startLeader(t)
	propose := func(c state.Command) state.Result {
		r, err := n.submitNow(c, lockWait)
		require.NoError(t, err)
		return r
	}
	claim := state.ClaimKey{Workspace: "w", Key: "k", Fingerprint: []byte("f"), Node: "e1", Incarnation: 1, Attempt: 1}
	strike := state.Strike{Fingerprint: []byte("f"), Failure: state.TargetFailure{VM: "vm", Incarnation: 1}, Limit: 3}
	_, err := n.propose(context.Background(), state.JoinEntry{Node: "e1", Incarnation: 1})
	require.NoError(t, err)
	require.Equal(t, state.ClaimGranted, propose(claim).Verdict)
	propose(strike)
	before := n.log.Applied()
	claim.Node = "e2"
	for range 20 {
		r := propose(claim)
		require.Equal(t, state.ClaimBusy, r.Verdict)
		require.EqualValues(t, "e1", r.Holder)
		require.GreaterOrEqual(t, propose(strike).Index, before)
	}
	require.Equal(t, before, n.log.Applied())
}

// TestStrikesLeaveRoomForOtherCommands guards against a leader whose own commands queue
// behind the strikes of all entry nodes.
func TestStrikesLeaveRoomForOtherCommands(t *testing.T) {
	n := startLeader(t)
	for range maxStrikeProposals {
		n.strikeSlots <- struct{}{}
	}
	before := n.log.Applied()
	strike := state.Strike{Fingerprint: []byte("f"), Failure: state.TargetFailure{VM: "vm", Incarnation: 1}, Limit: 3}
	_, err := n.submitNow(strike, 20*time.Millisecond)
	require.Equal(t, codes.NoQuorum, codes.Of(err), "its sender sends it again")
	require.Equal(t, before, n.log.Applied(), "not proposed")
	_, err = n.submitNow(state.OpenTraffic{}, lockWait)
	require.NoError(t, err)
	<-n.strikeSlots
	_, err = n.submitNow(strike, lockWait)
	require.NoError(t, err)
	require.Len(t, n.strikeSlots, maxStrikeProposals-1)
}
