package spread

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

// disturb draws one fault: a node stands still, ends, is cut off, or loses an answer.
func (w *World) disturb(random *rand.Rand) {
	entries := w.nodes[random.IntN(len(w.nodes))].id
	control := w.controlIDs[random.IntN(len(w.controlIDs))]
	if leader := w.Leader(); leader != "" && random.IntN(3) == 0 {
		control = leader
	}
	length := sardine.Millis(100 + random.IntN(3000))
	switch random.IntN(6) {
	case 0:
		w.driver.Pause(entries, length)
	case 1:
		w.driver.Pause(control, length)
	case 2:
		w.driver.Cut(control, entries, length)
	case 3:
		w.driver.Cut(entries, control, length)
	case 4:
		w.driver.Isolate(control, length)
	case 5:
		if roots := w.roots(); len(roots) > 0 {
			w.driver.Pause(roots[random.IntN(len(roots))], length)
		}
	}
}

// put lets the leader accept a layout, if there is one, and reports whether it did.
func (w *World) put(number uint64) bool {
	if w.Leader() == "" {
		return false
	}
	leader := w.control(w.Leader())
	return leader.w.board.append(leader.term, leader.stamp(), state.PutLayout{Number: number, Packed: []byte{1}}) > 0
}

// TestDenialsAreNeverOlderThanAChangeMayBe guards against the incident CONFIG: whatever
// waits of relays, probes and leaders add up, a node that denies by its layout, since a
// leader vouched for it lately, knows each change that must be in force.
func TestDenialsAreNeverOlderThanAChangeMayBe(t *testing.T) {
	const (
		seeds = 12
		look  = 50 * sardine.Millis(1)
		each  = 400 * sardine.Millis(1) // a layout
		until = 15 * sardine.Second
	)
	denied := 0
	for seed := range uint64(seeds) {
		w := relaySite(t, seed, 0)
		random := rand.New(rand.NewPCG(seed, 3))
		accepted := []sardine.Millis{0} // by number
		start := w.driver.Now()
		for at := sardine.Millis(0); at < until; at += look {
			if at%each == 0 {
				w.disturb(random)
				if w.put(uint64(len(accepted))) {
					accepted = append(accepted, w.driver.Now())
				}
			}
			w.RunFor(start + at + look - w.driver.Now())
			for _, n := range w.nodes {
				age := w.driver.Local(n.id) - n.follower.ConfirmedAt()
				if n.follower.ConfirmedAt() == 0 || age > follow.MaxStaleness {
					continue
				}
				denied++
				number := n.follower.Machine().Layout().Number
				for next := number + 1; next < uint64(len(accepted)); next++ {
					require.LessOrEqual(t, w.driver.Now()-accepted[next], inForceMost,
						"seed %d: node %s denies by layout %d, vouched for %d ms ago; %d was accepted before", seed, n.id, number, age, next)
				}
			}
		}
	}
	require.Positive(t, denied)
}
