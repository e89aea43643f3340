package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sardineswitch.dev/sardine/standin/cut"
)

// Lengths of a cut. The longest outlasts every lease of an entry node.
const (
	shortestCut = 500 * time.Millisecond
	longestCut  = 8 * time.Second
)

// entryCut cuts one entry node off from all other nodes.
func entryCut(r *run, random *rand.Rand) {
	r.cutOff(random, fmt.Sprintf("entry-%d", 1+random.IntN(entries)))
}

// controlCut cuts one control node off, every other time the leader. Another one
// may be down meanwhile, so that there is no quorum.
func controlCut(r *run, random *rand.Rand) {
	i := random.IntN(controls)
	if random.IntN(2) == 0 {
		i = max(r.site.Leader(), 0)
	}
	r.cutOff(random, fmt.Sprintf("control-%d", i+1))
}

// cutOff cuts a node off in both directions or in one, in silence or not, and
// heals the network.
func (r *run) cutOff(random *rand.Rand, node string) {
	network := r.site.Network()
	mode := cut.Silent
	if random.IntN(4) == 0 {
		mode = cut.Refuse
	}
	switch random.IntN(3) {
	case 0:
		network.Isolate(node, mode)
	case 1:
		network.Set(node, cut.Any, mode)
	default:
		network.Set(cut.Any, node, mode)
	}
	time.Sleep(shortestCut + time.Duration(random.Int64N(int64(longestCut-shortestCut))))
	network.Heal()
}
