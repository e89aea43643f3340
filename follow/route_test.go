package follow

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// A leader may reply late because many nodes poll it. Any other control node that
// does not reply is down or frozen, and waiting longer for it delays changes.
func TestOnlyLeaderProbesGetLonger(t *testing.T) {
	for failures := range 4 {
		r := route{failures: failures, leader: "c1"}
		require.Equal(t, LeaderProbeTimeout, r.probeTimeout("c1"))
		require.Equal(t, ProbeTimeout, r.probeTimeout("c2"))
	}
	require.Equal(t, 2*ProbeTimeout, LeaderProbeTimeout)
}

// A follower whose relay fails must poll the leader that the relay named: a control
// node polled at random may be frozen.
func TestLeaderNamedByRelayIsPolledFirst(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 0)
	answer(t, f, now, a, Reply{Relay: "r1"})
	a, now = ask(t, f, now)
	require.Equal(t, "r1", a.Address)
	answer(t, f, now, a, Reply{Leader: "c9"})
	a, now = ask(t, f, now)
	now += a.Timeout
	f.HandleFailure(now, a.Request.Sequence)
	a, _ = ask(t, f, now)
	require.Equal(t, "c9", a.Address)
	require.False(t, a.ToRelay)
	require.Zero(t, a.Request.Hold)
	require.Equal(t, LeaderProbeTimeout, a.Timeout)
}

// An extra poll that reports the followers' applied index to a busy leader may
// time out. The relay must keep the leader, since its held poll is still pending.
func TestTimeoutOfExtraPollKeepsLeader(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 0)
	leader := a.Address
	answer(t, f, now, a, Reply{})
	held, now := ask(t, f, now)
	require.Equal(t, leader, held.Address)
	f.Relay().HandleRequest(now, 1, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Sequence: 1, Applied: 5, Hold: DefaultPollHold})
	prompt, now := ask(t, f, now)
	require.Zero(t, prompt.Request.Hold)
	now += prompt.Timeout
	f.HandleFailure(now, prompt.Request.Sequence)
	require.Equal(t, leader, f.ControlAddress())
	f.Relay().HandleRequest(now, 2, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Sequence: 2, Applied: 6, Hold: DefaultPollHold})
	if hedge, sent := f.Next(now + MaxBackoff - 1); sent {
		require.NotEqual(t, leader, hedge.Address, "the next extra poll waits")
	}
	_, sent := f.Next(now + MaxBackoff - 1)
	require.False(t, sent)
	answer(t, f, now, held, Reply{})
	a, _ = ask(t, f, now)
	require.Equal(t, leader, a.Address)
	require.Equal(t, DefaultPollHold, a.Request.Hold)
}

// When a relay exits while the leader is busy, the leader replies later than the
// timeout of a probe. Without a longer timeout every follower of the relay would
// avoid the leader for a while.
func TestNamedLeaderGetsLongerProbe(t *testing.T) {
	r := route{controls: []string{"c1", "c2"}, random: rand.New(rand.NewPCG(1, 1)), retry: 100, avoided: make(map[string]sardine.Millis)}
	r.relay = "relay"
	r.failed(0, "relay", true)
	r.redirected(10, "c1", "leader")
	address, relay := r.next(10)
	require.Equal(t, "leader", address)
	require.False(t, relay)
	require.Equal(t, LeaderProbeTimeout, r.probeTimeout(address))
}
