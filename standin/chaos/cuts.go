package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sardineswitch.dev/sardine/standin/cut"
)

// Durations of an isolation. The longest exceeds every lease of an entry node.
const (
	shortestIsolation = 500 * time.Millisecond
	longestIsolation  = 8 * time.Second
)

// isolateEntry isolates one entry node from all other nodes.
func isolateEntry(r *run, random *rand.Rand) {
	r.isolate(random, fmt.Sprintf("entry-%d", 1+random.IntN(entries)))
}

// isolateControl isolates one control node, in half of the cases the leader.
// Another one may be down meanwhile, so that there is no quorum.
func isolateControl(r *run, random *rand.Rand) {
	i := random.IntN(controls)
	if random.IntN(2) == 0 {
		i = max(r.site.LeaderIndex(), 0)
	}
	r.isolate(random, fmt.Sprintf("control-%d", i+1))
}

// isolate isolates a node in both directions or in one, and heals the network
// after a while. In three of four cases traffic is withheld without closing
// connections, otherwise connections are refused.
func (r *run) isolate(random *rand.Rand, node string) {
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
	time.Sleep(shortestIsolation + time.Duration(random.Int64N(int64(longestIsolation-shortestIsolation))))
	network.Heal()
}
