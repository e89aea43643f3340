package state

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// TestGroupFailuresCountPerEpoch guards against a request that makes the only group of
// a deployment fail again and again. The group re-forms under the same name, but
// under a new epoch; its failures must not count as one.
func TestGroupFailuresCountPerEpoch(t *testing.T) {
	m, fingerprint := NewMachine(), []byte("f")
	m.Apply(1, 1, Strike{Fingerprint: fingerprint, Failure: TargetFailure{Group: "g", Epoch: 1}})
	m.Apply(2, 1, Strike{Fingerprint: fingerprint, Failure: TargetFailure{Group: "g", Epoch: 1}})
	require.False(t, m.Poison(fingerprint).Refused())
	m.Apply(3, 1, Strike{Fingerprint: fingerprint, Failure: TargetFailure{Group: "g", Epoch: 2}})
	require.True(t, m.Poison(fingerprint).Refused())
}

// TestRefusedPoisonsAreNotEvicted guards against a rejected request that runs again
// because its fingerprint was evicted by many requests with one strike each.
func TestRefusedPoisonsAreNotEvicted(t *testing.T) {
	m, at := NewMachine(), uint64(0)
	strike := func(s Strike) {
		at++
		m.Apply(at, WallTime(at), s)
	}
	poison := []byte("poison")
	for i := range 3 {
		strike(Strike{Fingerprint: poison, Failure: TargetFailure{VM: "t", Incarnation: sardine.Incarnation(i + 1)}, Limit: 3})
	}
	require.True(t, m.Poison(poison).Refused())
	for i := range MaxPoisons + 200 {
		fingerprint := binary.BigEndian.AppendUint64(nil, uint64(i))
		strike(Strike{Fingerprint: fingerprint, Failure: TargetFailure{VM: "t", Incarnation: 9}, Limit: 3})
	}
	require.Len(t, m.Poisons(), MaxPoisons)
	require.True(t, m.Poison(poison).Refused())
	require.Equal(t, at, m.PoisonIndex())
}

func TestPoisonFromOlderFormatWithGroupsOnly(t *testing.T) {
	p := poisonFromWire(&wire.Poison{Fingerprint: []byte("f"), Groups: []string{"g1", "g2"}, At: 5})
	require.True(t, p.Refused())
	require.Equal(t, p, poisonFromWire(poisonToWire(p)))
}
