package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVirtualFiresWhenDue(t *testing.T) {
	v := NewVirtual(10)
	ch := v.After(5)
	v.Advance(4)
	require.Empty(t, ch)
	v.Advance(1)
	require.EqualValues(t, 15, <-ch)
	require.EqualValues(t, 15, <-v.After(0))
}
