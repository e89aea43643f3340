package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

// inForceMost bounds the time in which a change must be in force on every entry
// node that can reach the control nodes.
const inForceMost = 2500 * sardine.Millis(1)

// relaySite returns a site whose data centres follow through a root, relays
// below it and their followers, after all nodes have found their places.
func relaySite(t *testing.T, seed uint64, cost sardine.Millis) *World {
	w := New(Options{
		Seed: seed, Controls: 9, Centres: []int{21, 22, 26}, Operators: 1, Teams: 1,
		Faults: drive.Faults{MaxDelay: 2}, NoRandomDelays: true, PollCost: cost,
	})
	w.RunFor(15 * sardine.Second)
	require.True(t, w.settled(), "seed %d", seed)
	clear(w.askers)
	return w
}

// roots returns the nodes that ask the leader for their data centre.
func (w *World) roots() []sardine.NodeID {
	var roots []sardine.NodeID
	for _, n := range w.nodes {
		if w.role(n.id) == RoleRoot {
			roots = append(roots, n.id)
		}
	}
	return roots
}

// loseAnswer loses the answer to the next held poll of a node at the leader.
func (w *World) loseAnswer(id sardine.NodeID) {
	for before := w.askers[id]; w.askers[id] == before; {
		w.RunFor(1)
	}
	w.driver.Cut(w.Leader(), id, follow.DefaultPollHold+50)
}

// slowest puts a layout into the log and returns the time until the last entry
// node has it.
func (w *World) slowest(number uint64) sardine.Millis {
	leader := w.control(w.Leader())
	leader.w.board.append(leader.term, leader.stamp(), state.PutLayout{Number: number, Packed: []byte{1}})
	start := w.driver.Now()
	for w.driver.Now() < start+2*inForceMost {
		w.RunFor(20)
		if w.everywhere(number) {
			break
		}
	}
	return w.driver.Now() - start
}

func (w *World) everywhere(number uint64) bool {
	for _, n := range w.nodes {
		if n.follower.Machine().Layout().Number < number {
			return false
		}
	}
	return true
}

// A relay whose own poll got no answer once turned its whole data centre to the
// leader, though what it knew was a second old.
func TestLostAnswerOfARelayConcernsNobodyElse(t *testing.T) {
	for seed := range uint64(10) {
		w := relaySite(t, seed, 0)
		roots := w.roots()
		require.Len(t, roots, 3, "seed %d", seed)
		w.loseAnswer(roots[0])
		w.RunFor(4 * sardine.Second)
		for _, root := range roots {
			delete(w.askers, root)
		}
		require.Empty(t, w.askers, "seed %d: nodes below a relay asked control nodes", seed)
	}
}

// The followers of relays whose poll was late turned to a leader that was busy
// already, made the next answers late, and changes came seconds late for as long
// as they went on.
func TestLateAnswersOfABusyLeaderDoNotSpread(t *testing.T) {
	const (
		cost    = 12 * sardine.Millis(1) // of a poll: 69 nodes at once take twice the time of a probe
		changes = 20
	)
	for seed := range uint64(5) {
		w := relaySite(t, seed, cost)
		for _, root := range w.roots() {
			w.loseAnswer(root)
		}
		w.RunFor(sardine.Second)
		for number := range uint64(changes) {
			require.LessOrEqual(t, w.slowest(number+1), inForceMost, "seed %d, change %d", seed, number+1)
		}
	}
}

// frozenCase says which nodes stand still when a change comes.
type frozenCase struct {
	name     string
	roots    int
	relays   int // below the first root
	controls int // that do not lead
}

// freeze holds the nodes of a case up and returns them.
func (w *World) freeze(c frozenCase) map[sardine.NodeID]bool {
	frozen := make(map[sardine.NodeID]bool)
	roots := w.roots()
	for _, root := range roots[:c.roots] {
		frozen[root] = true
	}
	relays := c.relays
	for _, n := range w.nodes {
		if relays > 0 && w.role(n.id) == RoleRelay && n.centre == "dc1" {
			relays--
			frozen[n.id] = true
		}
	}
	controls := c.controls
	for _, id := range w.controlIDs {
		if controls > 0 && id != w.Leader() {
			controls--
			frozen[id] = true
		}
	}
	for id := range frozen {
		w.driver.Pause(id, 8*sardine.Second)
	}
	return frozen
}

// Nodes below a frozen relay waited for its answer, then for one control node
// after another that stood still as well: each wait was bounded, their sum was
// not, and a change came after 3 to 4 s.
func TestSilenceOfRelaysAndControlNodesDoesNotAddUp(t *testing.T) {
	for _, c := range []frozenCase{
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
				frozen := w.freeze(c)
				leader := w.control(w.Leader())
				leader.w.board.append(leader.term, leader.stamp(), state.PutLayout{Number: 1, Packed: []byte{1}})
				w.RunFor(inForceMost)
				for _, n := range w.nodes {
					if !frozen[n.id] {
						require.EqualValues(t, 1, n.follower.Machine().Layout().Number, "seed %d, node %s", seed, n.id)
					}
				}
			}
		})
	}
}

// The waits after a relay that stands still and after a leader that is late for
// the first probe add up: a change came after the bound.
func TestLateLeaderAfterASilentRelayDoesNotAddUp(t *testing.T) {
	const (
		cost    = 12 * sardine.Millis(1)
		lateAt  = 1050 * sardine.Millis(1) // when followers of a silent relay ask the leader
		lateFor = 500 * sardine.Millis(1)
	)
	for seed := range uint64(12) {
		w := relaySite(t, seed, cost)
		w.RunFor(60 * sardine.Millis(seed))
		frozen := w.freeze(frozenCase{roots: 1, relays: 2})
		leader := w.control(w.Leader())
		w.driver.At(lateAt, func(sardine.Millis) { w.driver.Pause(leader.id, lateFor) })
		leader.w.board.append(leader.term, leader.stamp(), state.PutLayout{Number: 1, Packed: []byte{1}})
		w.RunFor(inForceMost)
		for _, n := range w.nodes {
			if !frozen[n.id] {
				require.EqualValues(t, 1, n.follower.Machine().Layout().Number, "seed %d, node %s", seed, n.id)
			}
		}
	}
}
