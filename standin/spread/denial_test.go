package spread

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
)

// injectFault draws one fault: a node is paused, isolated, or cut off in one
// direction.
func (w *World) injectFault(random *rand.Rand) {
	entry := w.nodes[random.IntN(len(w.nodes))].id
	control := w.controlIDs[random.IntN(len(w.controlIDs))]
	if leader := w.Leader(); leader != "" && random.IntN(3) == 0 {
		control = leader
	}
	length := sardine.Millis(100 + random.IntN(3000))
	switch random.IntN(6) {
	case 0:
		w.driver.Pause(entry, length)
	case 1:
		w.driver.Pause(control, length)
	case 2:
		w.driver.Cut(control, entry, length)
	case 3:
		w.driver.Cut(entry, control, length)
	case 4:
		w.driver.Isolate(control, length)
	case 5:
		if roots := w.roots(); len(roots) > 0 {
			w.driver.Pause(roots[random.IntN(len(roots))], length)
		}
	}
}

// appendLayout appends a layout to the log if there is a leader, and reports
// whether it did.
func (w *World) appendLayout(number uint64) bool {
	if w.Leader() == "" {
		return false
	}
	leader := w.control(w.Leader())
	return leader.w.log.append(leader.term, leader.wallTime(), state.PutLayout{Number: number, Packed: []byte{1}}) > 0
}

// TestDenialsUseLayoutsWithinTheBound guards against requests that are rejected
// by settings that a change has replaced too long ago. An entry node rejects by
// its layout if a leader has confirmed it as current within follow.MaxStaleness.
// Whatever waits for relays, probes and leaders add up, such a node must have
// every layout that was accepted more than maxInForce ago.
func TestDenialsUseLayoutsWithinTheBound(t *testing.T) {
	const (
		seeds    = 12
		step     = 50 * sardine.Millis(1)
		interval = 400 * sardine.Millis(1) // between layouts
		until    = 15 * sardine.Second
	)
	denied := 0
	for seed := range uint64(seeds) {
		w := relaySite(t, seed, 0)
		random := rand.New(rand.NewPCG(seed, 3))
		accepted := []sardine.Millis{0} // by layout number
		start := w.driver.Now()
		for at := sardine.Millis(0); at < until; at += step {
			if at%interval == 0 {
				w.injectFault(random)
				if w.appendLayout(uint64(len(accepted))) {
					accepted = append(accepted, w.driver.Now())
				}
			}
			w.RunFor(start + at + step - w.driver.Now())
			for _, n := range w.nodes {
				age := w.driver.Local(n.id) - n.follower.ConfirmedAt()
				if n.follower.ConfirmedAt() == 0 || age > follow.MaxStaleness {
					continue
				}
				denied++
				number := n.follower.Machine().Layout().Number
				for next := number + 1; next < uint64(len(accepted)); next++ {
					require.LessOrEqual(t, w.driver.Now()-accepted[next], maxInForce,
						"seed %d: node %s rejects by layout %d, confirmed %d ms ago; layout %d was accepted before", seed, n.id, number, age, next)
				}
			}
		}
	}
	require.Positive(t, denied)
}

// Guards against a leader that confirms a state as current although it lacks a change that
// was accepted before that instant, as a leader may that another one has replaced: an
// entry node would then reject requests by settings that it takes for current.
func TestConfirmedStateHoldsWhatWasAcceptedBefore(t *testing.T) {
	const (
		seeds    = 6
		step     = 10 * sardine.Millis(1)
		interval = 2 * sardine.Second // between the losses of leaders
		length   = 1200 * sardine.Millis(1)
		until    = 12 * sardine.Second
	)
	for seed := range uint64(seeds) {
		w := relaySite(t, seed, 0)
		accepted := []sardine.Millis{0} // by layout number
		waiting := uint64(0)            // index of the layout that is not committed yet
		start := w.driver.Now()
		for at := sardine.Millis(0); at < until; at += step {
			if at%interval == 0 && w.Leader() != "" {
				w.cutFromControls(w.Leader(), length)
			}
			if waiting == 0 && w.Leader() != "" {
				leader := w.control(w.Leader())
				waiting = leader.w.log.append(leader.term, leader.wallTime(), state.PutLayout{Number: uint64(len(accepted)), Packed: []byte{1}})
			}
			w.RunFor(start + at + step - w.driver.Now())
			if waiting > 0 && w.committed(waiting) {
				accepted, waiting = append(accepted, w.driver.Now()), 0
			}
			for _, n := range w.nodes {
				if n.follower.ConfirmedAt() == 0 {
					continue
				}
				confirmed := w.driver.Now() - (w.driver.Local(n.id) - n.follower.ConfirmedAt())
				next := n.follower.Machine().Layout().Number + 1
				if next < uint64(len(accepted)) {
					require.GreaterOrEqual(t, accepted[next], confirmed, "seed %d: node %s lacks layout %d, and a leader has confirmed its state as of a later instant", seed, n.id, next)
				}
			}
		}
		require.Greater(t, len(accepted), 50)
	}
}

// cutFromControls cuts a control node off from all others. Entry nodes still reach it.
func (w *World) cutFromControls(id sardine.NodeID, length sardine.Millis) {
	for _, other := range w.controlIDs {
		if other != id {
			w.driver.Cut(id, other, length)
			w.driver.Cut(other, id, length)
		}
	}
}

// committed reports whether some control node knows that an entry is committed.
func (w *World) committed(index uint64) bool {
	for _, id := range w.controlIDs {
		if w.control(id).commit >= index {
			return true
		}
	}
	return false
}
