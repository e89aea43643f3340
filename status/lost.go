package status

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// The replicated state drops a lost target at once, since it can run no more
// requests. A report keeps it, since operators need to see which VM is down and
// since when.
const (
	// lostRetention is how long a lost target is listed, in milliseconds.
	lostRetention = 12 * 3600 * sardine.Second
	// maxLostTargets is the maximum number of lost targets in a report.
	maxLostTargets = 1000
)

// targetRecord is the last report of a target, which may have been lost since.
type targetRecord struct {
	row     Target
	leaving bool
	lostAt  state.WallTime // 0 while the state lists it
}

// recordTargets records the targets that the state lists now.
func (h *History) recordTargets(rows []Target) {
	for _, row := range rows {
		h.targets[row.VM] = targetRecord{row: row, leaving: row.Condition.State == "leaving"}
	}
}

// lostTargets returns the targets that disappeared without announcing that they
// leave. It drops the records of those that announced it, and of those lost longer
// than lostRetention ago.
func (h *History) lostTargets(known []Target, now state.WallTime) []Target {
	listed := make(map[sardine.VMID]bool, len(known))
	for _, row := range known {
		listed[row.VM] = true
	}
	var all []Target
	for vm, g := range h.targets {
		if listed[vm] {
			continue
		}
		if g.lostAt == 0 {
			g.lostAt = now
			h.targets[vm] = g
		}
		if g.leaving || now-g.lostAt > state.WallTime(lostRetention) {
			delete(h.targets, vm)
			continue
		}
		row := g.row
		row.Group, row.Load = "", sardine.Load{}
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Target) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return all[:min(len(all), maxLostTargets)]
}
