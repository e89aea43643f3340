package trial

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const steps = 2000

func TestSeeds(t *testing.T) {
	t.Parallel()
	failed := 0
	for seed := range uint64(200) {
		r := Run(Options{Seed: seed, Steps: steps})
		if r.Violation != "" {
			t.Log(r)
			failed++
		}
	}
	require.Zero(t, failed)
}
