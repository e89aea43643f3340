package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSitesShareNoPort: two soaks that began in the same second once drew the same
// port, and the processes of one site joined the other.
func TestSitesShareNoPort(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		block, err := takePorts()
		require.NoError(t, err)
		defer block.release()
		all, err := block.addresses(blockSize / 4)
		require.NoError(t, err)
		more, err := block.addresses(blockSize / 4)
		require.NoError(t, err)
		for _, a := range append(all, more...) {
			require.False(t, seen[a], a)
			seen[a] = true
		}
		_, err = block.addresses(blockSize)
		require.ErrorContains(t, err, "no free port is left")
	}
}
