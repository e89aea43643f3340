package chaos

import "time"

// gaps measures the times during which an entry node is unready after it has
// been ready.
type gaps struct {
	since    map[string]time.Time // start of the current gap, by node and incarnation
	wasReady map[string]bool      // nodes that have been ready
}

func newGaps() *gaps {
	return &gaps{since: make(map[string]time.Time), wasReady: make(map[string]bool)}
}

// observe records whether a node is ready and returns the length of a gap that
// has just ended, or 0. The time from a node's start until it is ready first
// is no gap.
func (g *gaps) observe(node string, ready bool, now time.Time) time.Duration {
	if !ready {
		if _, open := g.since[node]; !open && g.wasReady[node] {
			g.since[node] = now
		}
		return 0
	}
	g.wasReady[node] = true
	since, open := g.since[node]
	if !open {
		return 0
	}
	delete(g.since, node)
	return now.Sub(since)
}

// recordGap adds a gap to the result, unless its length is 0.
func (r *run) recordGap(length time.Duration) {
	if length == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.UnreadyGaps++
	r.result.LongestUnreadyMS = max(r.result.LongestUnreadyMS, length.Milliseconds())
}
