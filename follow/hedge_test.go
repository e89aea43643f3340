package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// lateLeader returns a follower whose held poll of the leader "c1" is late, with one
// follower of its own, and the question that it asks another control node.
func lateLeader(t *testing.T) (f *Follower, hedge OutgoingRequest, now sardine.Millis) {
	f = newTestFollower()
	f.route.leader = "c1"
	a, now := ask(t, f, 0)
	answer(t, f, now, a, Reply{})
	held, now := ask(t, f, now)
	require.Equal(t, "c1", held.Address)
	f.Relay().HandleRequest(now, 1, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Hold: DefaultPollHold})
	hedge, at := ask(t, f, now)
	require.Equal(t, now+DefaultPollHold+HedgeDelay, at)
	require.NotEqual(t, "c1", hedge.Address)
	require.Empty(t, hedge.Request.Reports)
	return f, hedge, at
}

// TestLateLeaderIsReplacedByTheOneThatOthersName guards against nodes that wait for a
// failed leader although another one has been elected.
func TestLateLeaderIsReplacedByTheOneThatOthersName(t *testing.T) {
	f, hedge, now := lateLeader(t)
	answer(t, f, now, hedge, faultReply(codes.NotLeader, "", "c9"))
	a, at := ask(t, f, now)
	require.Equal(t, "c9", a.Address)
	require.Equal(t, now, at)
	require.Equal(t, LeaderProbeTimeout, a.Timeout)
}

// TestLateLeaderIsAwaitedWhileOthersNameIt guards against further polls of a leader that
// is late because many nodes poll it.
func TestLateLeaderIsAwaitedWhileOthersNameIt(t *testing.T) {
	f, hedge, now := lateLeader(t)
	answer(t, f, now, hedge, faultReply(codes.NotLeader, "", "c1"))
	a, at := ask(t, f, now)
	require.NotEqual(t, "c1", a.Address, "asked again")
	require.Equal(t, now+HedgeDelay, at)
	require.Zero(t, f.relay.leaderlessAt)
}

// TestRelayStaysOpenOnlyWhileThereIsNoLeader guards against relays that turn their
// followers away during an election, and against ones that keep them when they are cut
// off.
func TestRelayStaysOpenOnlyWhileThereIsNoLeader(t *testing.T) {
	f, hedge, now := lateLeader(t)
	confirmed := f.ConfirmedAt()
	require.Equal(t, confirmed+MaxStaleness, f.relay.closesAt())
	answer(t, f, now, hedge, faultReply(codes.NotLeader, "", ""))
	replies := f.Relay().TakeReplies()
	require.Len(t, replies, 1, "the follower is told at once")
	require.True(t, replies[0].Reply.Leaderless)
	require.Nil(t, replies[0].Reply.Fault)
	require.Equal(t, now+LeaderlessValidity, f.relay.closesAt(), "unless control nodes say so again")
	for f.relay.closesAt() < confirmed+MaxLeaderless {
		now += LeaderlessValidity / 2
		f.relay.recordLeaderless(now)
	}
	f.relay.recordLeaderless(now + MaxLeaderless)
	require.Equal(t, confirmed+MaxLeaderless, f.relay.closesAt())
}

// TestLeaderlessIsPassedOnByRelays checks that the nodes below a relay stay open as well.
func TestLeaderlessIsPassedOnByRelays(t *testing.T) {
	f := newTestFollower()
	f.route.relay = "r1"
	a, now := ask(t, f, 10*sardine.Second)
	require.True(t, a.ToRelay)
	f.Relay().HandleRequest(now, 1, Request{From: NodeRef{Node: "e2", Incarnation: 1}, Hold: DefaultPollHold})
	answer(t, f, now, a, Reply{Leaderless: true, ConfirmedOffset: -MaxStaleness})
	require.True(t, f.relay.open)
	require.Equal(t, now+LeaderlessValidity, f.relay.closesAt())
	w, err := ReplyFromWire(ReplyToWire(Reply{Leaderless: true}))
	require.NoError(t, err)
	require.True(t, w.Leaderless)
	a, now = ask(t, f, now)
	answer(t, f, now, a, Reply{})
	require.Zero(t, f.relay.leaderlessAt)
}

// TestHedgeThatReachesTheLeaderReplacesTheLatePoll guards against reports that are lost
// with the poll that is no longer awaited.
func TestHedgeThatReachesTheLeaderReplacesTheLatePoll(t *testing.T) {
	f := newTestFollower()
	f.route.leader = "c1"
	f.Report(TargetReport{Home: "e1", Incarnation: 1, Sequence: 1})
	held, now := ask(t, f, 0)
	require.Len(t, held.Request.Reports, 1)
	hedge, now := ask(t, f, now)
	outcome, err := f.HandleReply(now, hedge.Request.Sequence, Reply{})
	require.NoError(t, err)
	require.True(t, outcome.WantFull)
	next, now := ask(t, f, now)
	require.Equal(t, hedge.Address, next.Address)
	outcome, err = f.HandleReply(now, held.Request.Sequence, Reply{Through: 9})
	require.NoError(t, err)
	require.Equal(t, Outcome{}, outcome, "a reply that is no longer awaited")
}

// TestUnreachableLeaderIsNoEvidenceOfAnElection guards against a relay that is cut off
// from the leader alone and keeps its followers, which could reach it.
func TestUnreachableLeaderIsNoEvidenceOfAnElection(t *testing.T) {
	f, hedge, now := lateLeader(t)
	f.route.avoid(now, "c1", ControlAvoidance)
	answer(t, f, now, hedge, faultReply(codes.NotLeader, "", "c1"))
	f.HandleFailure(now, f.main.ask.Request.Sequence)
	a, now := ask(t, f, now)
	answer(t, f, now, a, faultReply(codes.NotLeader, "", "c1"))
	require.Zero(t, f.relay.leaderlessAt)
	require.Equal(t, f.ConfirmedAt()+MaxStaleness, f.relay.closesAt())
}
