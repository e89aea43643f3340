package ports

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSitesShareNoPort: two soaks that began in the same second once drew the same
// port, and the processes of one site joined the other; so did two tests of sites
// that ran in parallel, and one could not listen.
func TestSitesShareNoPort(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		block, err := Take()
		require.NoError(t, err)
		defer block.Release()
		all, err := block.Addresses(blockSize / 4)
		require.NoError(t, err)
		more, err := block.Addresses(blockSize / 4)
		require.NoError(t, err)
		for _, a := range append(all, more...) {
			require.False(t, seen[a], a)
			seen[a] = true
		}
		_, err = block.Addresses(blockSize)
		require.ErrorContains(t, err, "no free port is left")
	}
}
