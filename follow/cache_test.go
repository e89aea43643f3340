package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/state"
)

// TestCacheKeepsTheNewestLayoutOnly: in a storm of changes a follower that lags
// needs the last one alone.
func TestCacheKeepsTheNewestLayoutOnly(t *testing.T) {
	var c cache
	c.reset(10)
	packed := make([]byte, 100<<10)
	for i := range uint64(50) {
		c.add(News{Index: 11 + 2*i, Command: state.PutLayout{Number: 100 + i, Packed: packed}})
		c.add(News{Index: 12 + 2*i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	c.add(News{Index: 111, Command: state.PutLayout{Number: 120, Packed: packed}}) // overtaken
	require.EqualValues(t, 111, c.through)
	news, ok := c.since(10)
	require.True(t, ok)
	var numbers []uint64
	for _, n := range news {
		if put, ok := n.Command.(state.PutLayout); ok {
			numbers = append(numbers, put.Number)
		}
	}
	require.Equal(t, []uint64{149}, numbers)
	require.Len(t, news, 51)
	require.Equal(t, 51*newsBytes+len(packed), c.bytes)
}

// TestSnapshotIsTakenOnceForMany is the pattern of a loss of all entry nodes: each
// asks for the whole state and joins by an entry, while the leader has little time.
func TestSnapshotIsTakenOnceForMany(t *testing.T) {
	var c cache
	c.reset(10)
	taken := 0
	take := func() ([]byte, uint64, error) {
		taken++
		return []byte("state"), c.through, nil
	}
	for i := range uint64(69) {
		whole, news, err := c.whole(take)
		require.NoError(t, err)
		require.EqualValues(t, 10, whole.index)
		require.Len(t, news, int(i), "what has happened since comes with it")
		c.add(News{Index: 11 + i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	require.Equal(t, 1, taken)
	for i := range uint64(keptNews) {
		c.add(News{Index: 200 + i, Command: state.TargetDown{VM: "a", Incarnation: 1}})
	}
	whole, news, err := c.whole(take)
	require.NoError(t, err)
	require.Equal(t, c.through, whole.index)
	require.Empty(t, news)
	require.Equal(t, 2, taken)
	c.reset(500)
	_, _, err = c.whole(take)
	require.NoError(t, err)
	require.Equal(t, 3, taken, "a state that was restored meanwhile is another one")
}
