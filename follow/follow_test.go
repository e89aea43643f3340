package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

func fullReport() TargetReport {
	return TargetReport{
		Home: "e1", Incarnation: 2, Sequence: 3, Full: true,
		Targets: []TargetStatus{{
			Target:       state.Target{VM: "vm1", Incarnation: 4, Kind: sardine.KindPlain, Address: "a", DataCentre: "osu", Domain: "d", Accelerators: 5, Service: "s", Loadable: []sardine.ModelName{"m"}, ChecksEpoch: true, Leaving: true},
			CurrentOrder: sardine.CurrentOrder{Group: "g", Epoch: 6, Rank: 7, Model: "m", Version: "v", State: sardine.MemberReady},
			Load:         sardine.Load{Running: 8, Queued: 9, TokensPerSecond: 1.5},
		}},
		Lost: []TargetRef{{VM: "vm2", Incarnation: 10}},
	}
}

func TestCodecRoundTrip(t *testing.T) {
	set := []NodeRef{{Node: "e2", Incarnation: 1}, {Node: "e3", Incarnation: 2}}
	request := Request{
		From: NodeRef{Node: "e1", Incarnation: 2}, Sequence: 3, Applied: 4, Have: 5, SetHash: SetHash(set), Set: set,
		Covered: []bool{false, true, false, false, false, false, false, true}, Reports: []TargetReport{fullReport()}, Hold: 700,
	}
	require.Equal(t, request, RequestFromWire(RequestToWire(request)))
	reply := Reply{
		Fault: &Fault{Code: codes.NotLeader, Detail: "d", Leader: "c1"}, Grant: &lease.Grant{Sequence: 1, Serving: 2, Holding: 3, Floor: 4},
		Refused: []Refusal{{Ref: set[0], Code: codes.Superseded}}, After: 5, Updates: []Update{{Index: 6, At: 7, Command: state.DropToken{Hash: []byte{1}}}},
		Snapshot: []byte{2}, Through: 8, Relay: "r", WantSet: true, WantFull: []sardine.NodeID{"e1"}, Term: 9, ConfirmedOffset: -10, Leader: "c1",
	}
	back, err := ReplyFromWire(ReplyToWire(reply))
	require.NoError(t, err)
	require.Equal(t, reply, back)
}

func holders(count int) []lease.Holder {
	all := make([]lease.Holder, count)
	for i := range all {
		name := fmt.Sprintf("e%d", i)
		all[i] = lease.Holder{Entry: state.JoinEntry{Node: sardine.NodeID(name), Address: name, DataCentre: "osu"}, ServingEnd: 10}
	}
	return all
}

func TestAssignBoundsTheTree(t *testing.T) {
	require.Empty(t, AssignRelays(0, holders(RelayThreshold-1)))
	require.Empty(t, AssignRelays(10, holders(50)), "all leases have lapsed")
	for _, count := range []int{8, 9, 10, 30, 73, 200} {
		parents := AssignRelays(0, holders(count))
		require.Len(t, parents, count-1, "all but the root")
		width, _ := treeShape(count - 1)
		children := make(map[string]int)
		for node, parent := range parents {
			children[parent]++
			depth := 1
			for above, ok := parents[sardine.NodeID(parent)]; ok; above, ok = parents[sardine.NodeID(above)] {
				depth++
			}
			require.LessOrEqual(t, depth, 2, "node %s of %d", node, count)
		}
		for parent, n := range children {
			require.LessOrEqual(t, n, width, "relay %s of %d", parent, count)
		}
	}
}

func TestAssignMovesFewNodes(t *testing.T) {
	all := holders(70)
	before := AssignRelays(0, all)
	moved := 0
	for node, parent := range AssignRelays(0, all[:69]) {
		if before[node] != parent {
			moved++
		}
	}
	require.Less(t, moved, 15)
}

func newTestFollower() *Follower {
	return NewFollower(NodeRef{Node: "e1", Incarnation: 1}, "e1", []string{"c1", "c2", "c3"}, rand.New(rand.NewPCG(1, 1)))
}

// ask returns the follower's next request and the earliest instant, from now on,
// at which it sends it.
func ask(t *testing.T, f *Follower, now sardine.Millis) (OutgoingRequest, sardine.Millis) {
	now = max(now, f.Wake())
	a, ok := f.Next(now)
	require.True(t, ok)
	return a, now
}

// answer passes the reply to a request to the follower.
func answer(t *testing.T, f *Follower, now sardine.Millis, a OutgoingRequest, r Reply) {
	_, err := f.HandleReply(now, a.Request.Sequence, r)
	require.NoError(t, err)
}

func TestFollowerTriesOtherNodesAfterTimeouts(t *testing.T) {
	f := newTestFollower()
	asked := make(map[string]bool)
	now := sardine.Millis(0)
	for range 3 {
		var a OutgoingRequest
		a, now = ask(t, f, now)
		asked[a.Address] = true
		now += a.Timeout
		f.HandleFailure(now, a.Request.Sequence)
	}
	require.Len(t, asked, 3)
	require.Less(t, now, 3*sardine.Second)
	a, now := ask(t, f, now)
	answer(t, f, now, a, Reply{Fault: &Fault{Code: codes.NotLeader, Leader: "c9"}})
	a, now = ask(t, f, now)
	require.Equal(t, "c9", a.Address)
	answer(t, f, now, a, Reply{Relay: "r1"})
	a, now = ask(t, f, now)
	require.True(t, a.ToRelay)
	require.Equal(t, "r1", a.Address)
	f.HandleFailure(now+a.Timeout, a.Request.Sequence)
	a, now = ask(t, f, now+a.Timeout)
	require.False(t, a.ToRelay)
	answer(t, f, now, a, Reply{Relay: "r1"})
	a, _ = ask(t, f, now)
	require.False(t, a.ToRelay, "the relay failed a moment ago")
}

func TestLeaseCountsFromTheRequestAndWaitsForItsFloor(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 100)
	sent := now
	change := state.ChangeSettings{Team: "adinkra", ChangeID: "c", Document: ""}
	outcome, err := f.HandleReply(sent+50, a.Request.Sequence, Reply{
		Grant:   &lease.Grant{Sequence: a.Request.Sequence, Serving: 1000, Floor: 3},
		Updates: []Update{{Index: 3, At: 1, Command: change}}, Through: 4,
	})
	require.NoError(t, err)
	require.Len(t, outcome.Updates, 1)
	require.False(t, f.Lease().Serving(sent+51), "not caught up")
	f.MarkPublished(f.Machine().Index())
	require.True(t, f.Lease().Serving(sent+999))
	require.False(t, f.Lease().Serving(sent+1000))
	require.False(t, f.Lease().ServingTeam(sent+1000, sardine.CutHoldChanges))
	late, err := f.HandleReply(sent+60, a.Request.Sequence, Reply{Grant: &lease.Grant{Sequence: a.Request.Sequence, Serving: 9000}})
	require.NoError(t, err)
	require.Empty(t, late.Updates, "a second reply changes nothing")
	require.False(t, f.Lease().Serving(sent+1000))
	f.Leave()
	require.False(t, f.Lease().Serving(sent+60))
}

func TestSnapshotWithLowerVersionIsRejected(t *testing.T) {
	f := newTestFollower()
	a, now := ask(t, f, 0)
	answer(t, f, now, a, Reply{Updates: []Update{{Index: 3, Command: state.ChangeSettings{Team: "t", ChangeID: "c"}}}, Through: 3})
	other := state.NewMachine()
	other.Skip(9)
	b, err := other.EntrySnapshot()
	require.NoError(t, err)
	a, now = ask(t, f, now)
	_, err = f.HandleReply(now, a.Request.Sequence, Reply{Snapshot: b, Through: 9})
	require.Equal(t, codes.InvariantBroken, codes.Of(err))
	current, _ := f.Machine().Current("t")
	require.EqualValues(t, 1, current.Version)
}

// A node that can't reach the leader is still redirected to it by all other
// control nodes. Once the connection is back, it must poll the leader well within
// the time in which a change must be in force everywhere.
func TestLeaderCutOffFromOneNodeIsAskedAgainInTime(t *testing.T) {
	const inForce = 2 * sardine.Second // bound until a change is in force
	for seed := range uint64(50) {
		f := NewFollower(NodeRef{Node: "e1", Incarnation: 1}, "e1:1", []string{"a:1", "b:1", "c:1"}, rand.New(rand.NewPCG(seed, 1)))
		now, healed, asked := sardine.Millis(0), sardine.Millis(4000), sardine.Millis(0)
		for now < healed+inForce && asked == 0 {
			ask, more := f.Next(now)
			if !more {
				now = max(f.Wake(), now+1)
				continue
			}
			if ask.Address != "a:1" {
				now += 5
				_, err := f.HandleReply(now, ask.Request.Sequence, Reply{Fault: &Fault{Code: codes.NotLeader, Leader: "a:1"}})
				require.NoError(t, err)
				continue
			}
			if now >= healed {
				asked = now
				continue
			}
			now += ask.Timeout
			f.HandleFailure(now, ask.Request.Sequence)
		}
		require.NotZero(t, asked, "seed %d", seed)
	}
}
