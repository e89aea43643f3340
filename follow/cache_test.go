package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/state"
)

// When layouts change often, a follower that lags behind needs only the last one;
// the superseded ones must not fill the cache.
func TestCacheKeepsTheNewestLayoutOnly(t *testing.T) {
	var c cache
	c.reset(10)
	packed := make([]byte, 100<<10)
	for i := range uint64(50) {
		c.add(Update{Index: 11 + 2*i, Command: state.PutLayout{Number: 100 + i, Packed: packed}})
		c.add(Update{Index: 12 + 2*i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	c.add(Update{Index: 111, Command: state.PutLayout{Number: 120, Packed: packed}}) // superseded
	require.EqualValues(t, 111, c.through)
	updates, ok := c.since(10)
	require.True(t, ok)
	var numbers []uint64
	for _, n := range updates {
		if put, ok := n.Command.(state.PutLayout); ok {
			numbers = append(numbers, put.Number)
		}
	}
	require.Equal(t, []uint64{149}, numbers)
	require.Len(t, updates, 51)
	require.Equal(t, 51*updateBytes+len(packed), c.bytes)
}

// After all entry nodes restart together, each asks for the whole state and adds
// a JoinEntry. Encoding a snapshot for each of them would overload the leader.
func TestSnapshotIsTakenOnceForMany(t *testing.T) {
	var c cache
	c.reset(10)
	snapshots := 0
	takeSnapshot := func() ([]byte, uint64, error) {
		snapshots++
		return []byte("state"), c.through, nil
	}
	for i := range uint64(69) {
		snap, updates, err := c.snapshotAndUpdates(takeSnapshot)
		require.NoError(t, err)
		require.EqualValues(t, 10, snap.index)
		require.Len(t, updates, int(i), "the updates since the snapshot come with it")
		c.add(Update{Index: 11 + i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	require.Equal(t, 1, snapshots)
	for i := range uint64(maxUpdatesAfterSnapshot) {
		c.add(Update{Index: 200 + i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	snap, updates, err := c.snapshotAndUpdates(takeSnapshot)
	require.NoError(t, err)
	require.Equal(t, c.through, snap.index)
	require.Empty(t, updates)
	require.Equal(t, 2, snapshots)
	c.reset(500)
	_, _, err = c.snapshotAndUpdates(takeSnapshot)
	require.NoError(t, err)
	require.Equal(t, 3, snapshots, "a restored state needs a new snapshot")
}
