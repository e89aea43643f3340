package chaos

import "time"

// gaps follows for how long each entry node is not ready at a time.
type gaps struct {
	since map[string]time.Time // not ready since then, by node and incarnation
	begun map[string]bool      // was ready before
}

func newGaps() *gaps {
	return &gaps{since: make(map[string]time.Time), begun: make(map[string]bool)}
}

// look takes in one look and returns the length of a gap that has ended, 0 if
// none has. The time from a start until the node is ready first is no gap.
func (g *gaps) look(node string, ready bool, now time.Time) time.Duration {
	if !ready {
		if _, under := g.since[node]; !under && g.begun[node] {
			g.since[node] = now
		}
		return 0
	}
	g.begun[node] = true
	since, under := g.since[node]
	if !under {
		return 0
	}
	delete(g.since, node)
	return now.Sub(since)
}

// noteGap counts a gap.
func (r *run) noteGap(length time.Duration) {
	if length == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unready++
	r.result.LongestMS = max(r.result.LongestMS, length.Milliseconds())
}
