package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// repeatedCommand returns a command about a few keys and fingerprints, so that many of
// them repeat what the state holds.
func repeatedCommand(r *rand.Rand) Command {
	fingerprint := []byte(fmt.Sprintf("f%d", r.IntN(3)))
	node := sardine.NodeID(fmt.Sprintf("e%d", r.IntN(3)))
	key := fmt.Sprintf("k%d", r.IntN(4))
	switch r.IntN(8) {
	case 0, 1, 2:
		return ClaimKey{Workspace: "w", Key: key, Fingerprint: fingerprint, Node: node, Incarnation: 1, Attempt: 1 + uint64(r.IntN(2))}
	case 3:
		return DropClaim{Workspace: "w", Key: key, Node: node, Incarnation: 1, Attempt: 1}
	case 4:
		return FinishClaim{Workspace: "w", Key: key, Node: node, Incarnation: 1, Attempt: 1, Ran: sardine.RanYes}
	case 5:
		return ReleasePoison{Fingerprint: fingerprint}
	default:
		failure := TargetFailure{VM: sardine.VMID(fmt.Sprintf("vm%d", r.IntN(3))), Incarnation: 1}
		return Strike{Fingerprint: fingerprint, Failure: failure, Limit: r.IntN(4), Doubtful: r.IntN(2) == 0}
	}
}

// TestUnchangedCommandsChangeNothing guards against commands that are answered without
// the log although they would have changed the state.
func TestUnchangedCommandsChangeNothing(t *testing.T) {
	unchanged := make(map[string]int)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 9))
		m, at := NewMachine(), WallTime(1000)
		for i := range 3 {
			m.Apply(uint64(i+1), at, JoinEntry{Node: sardine.NodeID(fmt.Sprintf("e%d", i)), Incarnation: 1})
		}
		for index := uint64(4); index < 800; index += 2 {
			at += WallTime(r.Int64N(300))
			if r.IntN(100) == 0 {
				at += WallTime(max(ClaimRetention, PoisonRetention))
			}
			c := repeatedCommand(r)
			expected, ok := m.Unchanged(at, c)
			m.Apply(index, at, DropClaim{Key: "unknown"}) // what has expired is removed
			claims, poisons := m.Claims(), m.Poisons()
			result := m.Apply(index+1, at, c)
			if !ok {
				continue
			}
			unchanged[fmt.Sprintf("%T", c)]++
			require.Equal(t, claims, m.Claims(), "seed %d: %+v", seed, c)
			require.Equal(t, poisons, m.Poisons(), "seed %d: %+v", seed, c)
			expected.Index = result.Index
			require.Equal(t, expected, result, "seed %d: %+v", seed, c)
		}
	}
	require.Len(t, unchanged, 3, "%v", unchanged)
}
