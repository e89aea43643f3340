package ctrl

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// Sizes and times of the site that homesWorld plays.
const (
	worldNodes    = 9
	worldTargets  = 225
	worldInterval = 1200 * sardine.Millis(1) // between two announcements of a target
	worldStep     = 50 * sardine.Millis(1)
	// worldSettle is the time after which the load must be even again: a target stays
	// for homeReturn and moves with its next announcement.
	worldSettle = homeReturn + 2*worldInterval
)

// homesWorld plays control nodes and the targets that announce themselves to them, in
// virtual time.
type homesWorld struct {
	random   *rand.Rand
	now      sardine.Millis
	leader   int
	list     *homes
	nodes    []*targetCollector
	isolated map[int]bool            // nodes without contact with the leader
	cut      map[sardine.VMID]string // an address that the target can't reach
	at       map[sardine.VMID]string // address for the next announcement, empty for any
	due      map[sardine.VMID]sardine.Millis
	taken    map[string]int // announcements by address since reset
	failed   int            // announcements that were refused or unreachable, since reset
}

func newHomesWorld(seed uint64) *homesWorld {
	w := &homesWorld{
		random: rand.New(rand.NewPCG(seed, 4)), now: 1000, isolated: map[int]bool{}, cut: map[sardine.VMID]string{},
		at: map[sardine.VMID]string{}, due: map[sardine.VMID]sardine.Millis{}, taken: map[string]int{},
	}
	for i := range worldNodes {
		w.nodes = append(w.nodes, newTargetCollector(w.now, nodeName(i), address(i), 1, DefaultTiming()))
	}
	w.lead(0)
	for i := range worldTargets {
		w.due[sardine.VMID(fmt.Sprintf("vm-%d", i))] = w.now + sardine.Millis(w.random.IntN(int(worldInterval)))
	}
	return w
}

func nodeName(i int) sardine.NodeID { return sardine.NodeID(fmt.Sprintf("c%d", i)) }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// lead makes a node the leader.
func (w *homesWorld) lead(i int) {
	w.leader = i
	w.list = newHomes(nodeName(i))
	w.list.lead(w.now)
}

func (w *homesWorld) run(d sardine.Millis) {
	for end := w.now + d; w.now < end; w.now += worldStep {
		if w.now%reportInterval == 0 {
			w.report()
		}
		for vm, due := range w.due {
			if w.now >= due {
				w.due[vm] = due + worldInterval
				w.announce(vm)
			}
		}
	}
}

func (w *homesWorld) report() {
	for i, c := range w.nodes {
		if w.isolated[i] {
			continue
		}
		w.list.record(w.now, nodeName(i), c.nextReport(w.now).address)
		c.handleReply(w.now, leaderReply{homes: w.list.addresses(w.now)})
	}
}

// announce sends one announcement, to further nodes until one accepts it.
func (w *homesWorld) announce(vm sardine.VMID) {
	for range 3 * worldNodes {
		to := w.at[vm]
		w.at[vm] = ""
		if to == "" {
			to = address(w.random.IntN(worldNodes))
		}
		if to == w.cut[vm] {
			w.failed++
			continue
		}
		for i, c := range w.nodes {
			if address(i) != to {
				continue
			}
			next, err := c.announce(w.now, sardine.Announcement{VM: vm, Incarnation: 1, Address: "x:80"}, w.now > 3000)
			if err == nil {
				w.taken[to]++
				w.at[vm] = next
				return
			}
		}
		w.failed++
	}
}

func (w *homesWorld) reset() {
	clear(w.taken)
	w.failed = 0
}

// requireEven checks the load of the nodes in contact since reset.
func (w *homesWorld) requireEven(t *testing.T, when string) {
	t.Helper()
	sum := 0
	for _, n := range w.taken {
		sum += n
	}
	mean := float64(sum) / float64(worldNodes-len(w.isolated))
	for i := range w.nodes {
		n := float64(w.taken[address(i)])
		switch {
		case i == w.leader:
			require.Less(t, n, mean/2, "%s: the leader", when)
		case w.isolated[i]:
			require.Zero(t, n, "%s: node %d", when, i)
		default:
			require.Less(t, n, 1.5*mean, "%s: node %d", when, i)
			require.Positive(t, n, "%s: node %d", when, i)
		}
	}
}

// TestLoadOfTargetsReturnsToAllNodes guards against control nodes that keep the targets
// which came to them while others were out of contact, above all the leader.
func TestLoadOfTargetsReturnsToAllNodes(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			w := newHomesWorld(seed)
			check := func(when string) {
				t.Helper()
				w.run(worldSettle)
				w.reset()
				w.run(3 * worldInterval)
				w.requireEven(t, when)
				require.Zero(t, w.failed, when)
			}
			check("after the start")
			out := 1 + w.random.IntN(worldNodes-1)
			w.isolated[out] = true
			check("with a node out of contact")
			delete(w.isolated, out)
			check("after its return")
			w.lead(1 + w.random.IntN(worldNodes-1))
			check("after a change of leader")
			w.isolated[w.random.IntN(worldNodes)] = true
			delete(w.isolated, w.leader)
			w.lead(w.leader)
			check("with both")
		})
	}
}

// TestTargetTriesAnUnreachableNodeSeldom guards against targets that are sent to a node
// which they can't reach, each time by another control node.
func TestTargetTriesAnUnreachableNodeSeldom(t *testing.T) {
	w := newHomesWorld(1)
	w.run(2 * worldSettle)
	for vm, node := range w.at {
		w.cut[vm] = node
	}
	w.reset()
	const length = 60 * sardine.Second
	w.run(length)
	most := worldTargets * (int(length/homeReturn) + 1)
	require.LessOrEqual(t, w.failed, most)
}
