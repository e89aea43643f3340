package follow

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// Only a leader may be late because many ask it; another control node that does
// not answer stands still, and each longer wait for one adds to a change's delay.
func TestProbesOfTheLeaderGetLongerWhileNobodyAnswers(t *testing.T) {
	r := route{failures: SlowAfter - 1, leader: "c1"}
	require.Equal(t, ProbeTimeout, r.probeTimeout("c1"))
	r.failures++
	require.Equal(t, 2*ProbeTimeout, r.probeTimeout("c1"))
	require.Equal(t, ProbeTimeout, r.probeTimeout("c2"))
}

// A follower whose relay failed asked control nodes at random, which may stand
// still, though its relay had known who leads.
func TestLeaderThatARelayFollowsIsAskedFirst(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 0)
	answer(t, f, now, a, Reply{Relay: "r1"})
	a, now = ask(t, f, now)
	require.Equal(t, "r1", a.Address)
	answer(t, f, now, a, Reply{Leader: "c9"})
	a, now = ask(t, f, now)
	now += a.Timeout
	f.Failed(now, a.Request.Sequence)
	a, _ = ask(t, f, now)
	require.Equal(t, "c9", a.Address)
	require.False(t, a.Relay)
	require.Zero(t, a.Request.Hold)
	require.Equal(t, ProbeTimeout, a.Timeout)
}

// A relay that reported its followers' progress to a busy leader forgot the leader
// with each answer that was late, though its held poll was still to be answered.
func TestLateProgressReportLeavesTheLeaderKnown(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 0)
	leader := a.Address
	answer(t, f, now, a, Reply{})
	held, now := ask(t, f, now)
	require.Equal(t, leader, held.Address)
	f.Relay().Arrived(now, 1, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Sequence: 1, Applied: 5, Hold: Hold})
	prompt, now := ask(t, f, now)
	require.Zero(t, prompt.Request.Hold)
	now += prompt.Timeout
	f.Failed(now, prompt.Request.Sequence)
	require.Equal(t, leader, f.Control())
	f.Relay().Arrived(now, 2, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Sequence: 2, Applied: 6, Hold: Hold})
	_, early := f.Next(now + BackoffMost - 1)
	require.False(t, early, "the next report waits")
	answer(t, f, now, held, Reply{})
	a, _ = ask(t, f, now)
	require.Equal(t, leader, a.Address)
	require.Equal(t, Hold, a.Request.Hold)
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
	require.Equal(t, 2*ProbeTimeout, r.probeTimeout(address))
}
