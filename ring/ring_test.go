package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFullRingFollowsItsPolicy(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	refusing := New[int](1, Refuse)
	require.True(t, refusing.Push(ctx, 1))
	require.False(t, refusing.Push(ctx, 2))
	_, refused, _ := refusing.Full()
	require.EqualValues(t, 1, refused)

	replacing := New[int](1, Replace)
	require.True(t, replacing.Push(ctx, 1))
	require.True(t, replacing.Push(ctx, 2))
	require.Equal(t, 2, <-replacing.Items())
	_, _, dropped := replacing.Full()
	require.EqualValues(t, 1, dropped)

	waiting := New[int](1, Wait)
	require.True(t, waiting.Push(ctx, 1))
	require.False(t, waiting.Push(ctx, 2), "the context has ended")
	waited, _, _ := waiting.Full()
	require.EqualValues(t, 1, waited)
}
