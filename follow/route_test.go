package follow

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func TestProbesGetLongerWhileNobodyAnswers(t *testing.T) {
	r := route{failures: SlowAfter - 1}
	require.Equal(t, ProbeTimeout, r.probeTimeout())
	r.failures++
	require.Equal(t, 2*ProbeTimeout, r.probeTimeout())
}

// TestLeaderThatIsNamedGetsTime is the pattern of a relay that ends while the leader
// is busy: it answers later than a probe waits, and was then avoided for a while
// by every follower of the relay.
func TestLeaderThatIsNamedGetsTime(t *testing.T) {
	r := route{controls: []string{"c1", "c2"}, random: rand.New(rand.NewPCG(1, 1)), retry: 100, blocked: make(map[string]sardine.Millis)}
	r.relay = "relay"
	r.failed(0, "relay", true)
	r.redirected(10, "c1", "leader")
	address, relay := r.next(10)
	require.Equal(t, "leader", address)
	require.False(t, relay)
	require.Equal(t, 2*ProbeTimeout, r.probeTimeout())
}
