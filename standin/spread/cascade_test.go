package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

// maxInForce bounds the time until a change is in force on every entry node
// that can reach the control nodes.
const maxInForce = 2500 * sardine.Millis(1)

// relaySite returns a site whose data centres follow through a root relay and
// the relays below it. All nodes have found their place in the tree.
func relaySite(t *testing.T, seed uint64, cost sardine.Millis) *World {
	w := New(Options{
		Seed: seed, Controls: 9, Centres: []int{21, 22, 26}, Operators: 1, Teams: 1,
		Faults: drive.Faults{MaxDelay: 2}, NoRandomDelays: true, PollCost: cost,
	})
	w.RunFor(15 * sardine.Second)
	require.True(t, w.settled(), "seed %d", seed)
	clear(w.controlPolls)
	return w
}

// roots returns the nodes that poll the leader for their data centre.
func (w *World) roots() []sardine.NodeID {
	var roots []sardine.NodeID
	for _, n := range w.nodes {
		if w.role(n.id) == RoleRoot {
			roots = append(roots, n.id)
		}
	}
	return roots
}

// loseReply loses the reply to a node's next held poll at the leader.
func (w *World) loseReply(id sardine.NodeID) {
	for before := w.controlPolls[id]; w.controlPolls[id] == before; {
		w.RunFor(1)
	}
	w.driver.Cut(w.Leader(), id, follow.DefaultPollHold+50)
}

// timeToAllNodes appends a layout to the log and returns the time until the
// last entry node has it, in steps of 20 ms. It stops at twice maxInForce.
func (w *World) timeToAllNodes(number uint64) sardine.Millis {
	leader := w.control(w.Leader())
	leader.w.log.append(leader.term, leader.wallTime(), state.PutLayout{Number: number, Packed: []byte{1}})
	start := w.driver.Now()
	for w.driver.Now() < start+2*maxInForce {
		w.RunFor(20)
		if w.allNodesHave(number) {
			break
		}
	}
	return w.driver.Now() - start
}

func (w *World) allNodesHave(number uint64) bool {
	for _, n := range w.nodes {
		if n.follower.Machine().Layout().Number < number {
			return false
		}
	}
	return true
}

// TestLostReplyOfRelayConcernsNoOtherNode guards against a relay that loses the
// reply to its own poll and makes its whole data centre poll the leader,
// although its state is only a second old.
func TestLostReplyOfRelayConcernsNoOtherNode(t *testing.T) {
	for seed := range uint64(10) {
		w := relaySite(t, seed, 0)
		roots := w.roots()
		require.Len(t, roots, 3, "seed %d", seed)
		w.loseReply(roots[0])
		w.RunFor(4 * sardine.Second)
		for _, root := range roots {
			delete(w.controlPolls, root)
		}
		require.Empty(t, w.controlPolls, "seed %d: nodes below a relay polled control nodes", seed)
	}
}

// TestLateRepliesOfBusyLeaderDoNotCascade guards against a cascade: the
// followers of relays whose poll was late polled a leader that was already
// busy, which delayed its next replies. As long as that went on, changes
// arrived seconds late.
func TestLateRepliesOfBusyLeaderDoNotCascade(t *testing.T) {
	const (
		cost    = 12 * sardine.Millis(1) // of a poll; polls of all 69 nodes at once take twice the timeout of a probe
		changes = 20
	)
	for seed := range uint64(5) {
		w := relaySite(t, seed, cost)
		for _, root := range w.roots() {
			w.loseReply(root)
		}
		w.RunFor(sardine.Second)
		for number := range uint64(changes) {
			require.LessOrEqual(t, w.timeToAllNodes(number+1), maxInForce, "seed %d, change %d", seed, number+1)
		}
	}
}

// pauseCase is the number of nodes of each role that are paused when a change
// is made.
type pauseCase struct {
	name     string
	roots    int
	relays   int // below the first root
	controls int // other than the leader
}

// pauseNodes pauses the nodes of a case for 8 s and returns them.
func (w *World) pauseNodes(c pauseCase) map[sardine.NodeID]bool {
	paused := make(map[sardine.NodeID]bool)
	roots := w.roots()
	for _, root := range roots[:c.roots] {
		paused[root] = true
	}
	relays := c.relays
	for _, n := range w.nodes {
		if relays > 0 && w.role(n.id) == RoleRelay && n.centre == "dc1" {
			relays--
			paused[n.id] = true
		}
	}
	controls := c.controls
	for _, id := range w.controlIDs {
		if controls > 0 && id != w.Leader() {
			controls--
			paused[id] = true
		}
	}
	for id := range paused {
		w.driver.Pause(id, 8*sardine.Second)
	}
	return paused
}

// TestSilenceOfRelaysAndControlNodesDoesNotAddUp guards against waits that add
// up: nodes below a paused relay waited for its reply, then for one control
// node after another that was paused as well. Each wait was bounded, but not
// their sum, and a change arrived after 3 to 4 s.
func TestSilenceOfRelaysAndControlNodesDoesNotAddUp(t *testing.T) {
	for _, c := range []pauseCase{
		{name: "root", roots: 1},
		{name: "root and a relay", roots: 1, relays: 1},
		{name: "two roots, one control node", roots: 2, controls: 1},
		{name: "root, a relay, two control nodes", roots: 1, relays: 1, controls: 2},
		{name: "root, three control nodes", roots: 1, controls: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				w := relaySite(t, seed, 0)
				w.RunFor(100 * sardine.Millis(seed))
				paused := w.pauseNodes(c)
				leader := w.control(w.Leader())
				leader.w.log.append(leader.term, leader.wallTime(), state.PutLayout{Number: 1, Packed: []byte{1}})
				w.RunFor(maxInForce)
				for _, n := range w.nodes {
					if !paused[n.id] {
						require.EqualValues(t, 1, n.follower.Machine().Layout().Number, "seed %d, node %s", seed, n.id)
					}
				}
			}
		})
	}
}

// TestLateLeaderAfterASilentRelayDoesNotAddUp guards against two waits that add
// up, the one for a paused relay and the one for a leader that is late for the
// first probe, so that a change arrives after the bound.
func TestLateLeaderAfterASilentRelayDoesNotAddUp(t *testing.T) {
	const (
		cost    = 12 * sardine.Millis(1)
		lateAt  = 1050 * sardine.Millis(1) // when the followers of a paused relay poll the leader
		lateFor = 500 * sardine.Millis(1)
	)
	for seed := range uint64(12) {
		w := relaySite(t, seed, cost)
		w.RunFor(60 * sardine.Millis(seed))
		paused := w.pauseNodes(pauseCase{roots: 1, relays: 2})
		leader := w.control(w.Leader())
		w.driver.At(lateAt, func(sardine.Millis) { w.driver.Pause(leader.id, lateFor) })
		leader.w.log.append(leader.term, leader.wallTime(), state.PutLayout{Number: 1, Packed: []byte{1}})
		w.RunFor(maxInForce)
		for _, n := range w.nodes {
			if !paused[n.id] {
				require.EqualValues(t, 1, n.follower.Machine().Layout().Number, "seed %d, node %s", seed, n.id)
			}
		}
	}
}
