package ctrl

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/ports"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// lockWait is the timeout of every wait in these tests.
const lockWait = 10 * time.Second

// startLeader starts a site of one control node, and waits until it leads.
func startLeader(t *testing.T) *Node {
	t.Helper()
	block, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(block.Release)
	addresses, err := block.Addresses(1)
	require.NoError(t, err)
	member := quorum.Member{Node: "c1", Address: addresses[0]}
	n, err := New(WithID(member.Node, "test", "osu"), WithListen(member.Address, "127.0.0.1:0"), WithMembers(member),
		WithDisk(disk.NewMemory(rand.New(rand.NewPCG(1, 1)))), WithRandom(rand.New(rand.NewPCG(1, 2))))
	require.NoError(t, err)
	n.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.Stop(ctx) // like a failed machine
	})
	require.Eventually(t, func() bool {
		info := n.log.Leader()
		return info.IsLeader && n.leadership.leads(info.Term)
	}, lockWait, time.Millisecond)
	return n
}

// addDuePoll adds a confirmed poll that is answered with a snapshot in the next pump.
func (n *Node) addDuePoll(t *testing.T) chan follow.Reply {
	t.Helper()
	l := n.leadership
	_, reply := l.addPoll(n.clock.Now(), follow.Request{From: follow.NodeRef{Node: "e1", Incarnation: 1}, Sequence: 1, Hold: follow.DefaultPollHold})
	l.mu.Lock()
	defer l.mu.Unlock()
	index := n.log.Applied() + 1
	l.polls.server.Restored(index) // the poll lacks updates that the cache does not hold
	l.polls.server.ConfirmPolls(n.clock.Now(), follow.Confirmation{At: n.clock.Now(), Index: index}, l.polls.server.TakeUnconfirmed(n.clock.Now()))
	l.polls.fedIndex = index
	return reply
}

// viewBlocked reports whether new readers of the state wait, as they do once a writer waits.
func (n *Node) viewBlocked() bool {
	done := make(chan struct{})
	go func() {
		n.log.View(func(*state.Machine) {})
		close(done)
	}()
	select {
	case <-done:
		return false
	case <-time.After(20 * time.Millisecond):
		return true
	}
}

// Guards against a leader that hangs for good: an answer to an entry node that needs a
// snapshot, a reader of the state that needs the leadership, and an entry that is applied
// between the two wait for each other.
func TestSnapshotsAndViewsNeverDeadlock(t *testing.T) {
	n := startLeader(t)
	entered, release, viewed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go n.log.View(func(m *state.Machine) {
		close(entered)
		<-release
		n.leadership.verdict(n.clock.Now(), m, "", m.Index())
		close(viewed)
	})
	<-entered
	reply := n.addDuePoll(t)
	ctx, cancel := context.WithTimeout(context.Background(), lockWait)
	defer cancel()
	proposed := make(chan error, 1)
	go func() {
		_, err := n.propose(ctx, state.OpenTraffic{})
		proposed <- err
	}()
	require.Eventually(t, n.viewBlocked, lockWait, time.Millisecond, "the entry waits to be applied")
	go n.pump()
	time.Sleep(100 * time.Millisecond) // the pump waits for a lock
	close(release)
	for what, done := range map[string]<-chan struct{}{"the view": viewed, "the reply": closedBy(reply), "the change": closedBy(proposed)} {
		select {
		case <-done:
		case <-time.After(lockWait):
			t.Fatalf("%s has not ended after %v", what, lockWait)
		}
	}
}

// closedBy returns a channel that is closed after a value arrived.
func closedBy[T any](values <-chan T) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		<-values
		close(done)
	}()
	return done
}

// Guards against any other pair of locks that is taken in both orders: polls of nodes that
// start, departures, reports, changes, reads of the status and dumps at the same time. No
// call may wait longer than lockWait.
func TestControlNodeAnswersUnderMixedLoad(t *testing.T) {
	const calls, callers = 150, 3
	n := startLeader(t)
	backend := portBackend{node: n}
	ctx, cancel := context.WithTimeout(context.Background(), lockWait)
	defer cancel()
	kinds := []func(i int){
		func(i int) {
			poll, end := context.WithTimeout(ctx, 20*time.Millisecond)
			defer end()
			_, _ = n.Follow(poll, follow.RequestToWire(follow.Request{From: follow.NodeRef{Node: "e1", Incarnation: 1}, Sequence: uint64(i + 1)}))
		},
		func(int) { _ = backend.Leave(ctx, "vm1", 0) },
		func(int) { _, _ = n.propose(ctx, state.OpenTraffic{}) },
		func(int) { _ = n.inForce(n.log.Applied()) },
		func(int) { n.leadership.resetFeed(n.log.Applied()) }, // the next poll needs a snapshot
		func(int) { _, _ = n.handleReport(leaderReport{home: "c1", incarnation: 1}) },
		func(int) { n.wakeLeader() },
	}
	ended := make(chan struct{}, len(kinds)*callers)
	for _, kind := range kinds {
		for range callers {
			go func() {
				for i := range calls {
					kind(i)
				}
				ended <- struct{}{}
			}()
		}
	}
	for range len(kinds) * callers {
		select {
		case <-ended:
		case <-ctx.Done():
			t.Fatal("a call has not ended")
		}
	}
	require.NoError(t, ctx.Err())
}
