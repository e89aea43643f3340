package ports

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSitesShareNoPort guards against two sites that get the same port when
// they start in the same second or run in parallel: then processes of one site
// join the other site, or cannot listen.
func TestSitesShareNoPort(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		block, err := Reserve()
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
