package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// TestClaimAttempts checks one key under resent, replaced and late proposals of the
// same entry node.
func TestClaimAttempts(t *testing.T) {
	m := NewMachine()
	index := uint64(0)
	apply := func(c Command) Result {
		index++
		return m.Apply(index, WallTime(index), c)
	}
	claim := func(attempt uint64) Result {
		return apply(ClaimKey{Workspace: "w", Key: "k", Fingerprint: []byte("a"), Node: "e", Incarnation: 1, Attempt: attempt})
	}
	drop := func(attempt uint64) Result {
		return apply(DropClaim{Workspace: "w", Key: "k", Node: "e", Incarnation: 1, Attempt: attempt})
	}
	apply(JoinEntry{Node: "e", Incarnation: 1})
	apply(JoinEntry{Node: "f", Incarnation: 1})
	require.Equal(t, ClaimGranted, claim(1).Verdict)
	require.Equal(t, ClaimGranted, claim(1).Verdict, "resent because the reply was lost")
	require.NoError(t, drop(1).Err)
	require.Equal(t, ClaimGranted, claim(1).Verdict, "delayed claim that arrives after the drop")
	require.Equal(t, ClaimGranted, claim(2).Verdict, "replaces an attempt that was never dispatched")
	require.Equal(t, ClaimBusy, claim(1).Verdict, "delayed claim of a replaced attempt")
	require.Equal(t, codes.Superseded, codes.Of(drop(1).Err), "delayed drop of a replaced attempt")
	busy := apply(ClaimKey{Workspace: "w", Key: "k", Fingerprint: []byte("a"), Node: "f", Incarnation: 1, Attempt: 9})
	require.Equal(t, ClaimBusy, busy.Verdict)
	require.Equal(t, sardine.NodeID("e"), busy.Holder)
	finish := FinishClaim{Workspace: "w", Key: "k", Node: "e", Incarnation: 1, Attempt: 1, Ran: sardine.RanYes}
	require.Equal(t, codes.Superseded, codes.Of(apply(finish).Err))
	finish.Attempt = 2
	require.NoError(t, apply(finish).Err)
	require.Equal(t, ClaimAnswered, claim(3).Verdict)
}
