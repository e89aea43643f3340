package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFullRingFollowsItsPolicy(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	refusing := New[int](1, Reject)
	require.True(t, refusing.Push(ctx, 1))
	require.False(t, refusing.Push(ctx, 2))
	_, refused, _ := refusing.FullCounts()
	require.EqualValues(t, 1, refused)

	replacing := New[int](1, DropOldest)
	require.True(t, replacing.Push(ctx, 1))
	require.True(t, replacing.Push(ctx, 2))
	require.Equal(t, 2, <-replacing.Items())
	_, _, dropped := replacing.FullCounts()
	require.EqualValues(t, 1, dropped)

	waiting := New[int](1, Block)
	require.True(t, waiting.Push(ctx, 1))
	require.False(t, waiting.Push(ctx, 2), "the context has ended")
	waited, _, _ := waiting.FullCounts()
	require.EqualValues(t, 1, waited)
}
