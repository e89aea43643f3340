package status

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// The replicated state drops a lost target at once, since it is no place for
// work any more. For people it is the news itself: which VM is down, since when.
const (
	// goneKept is how long a lost target is listed, milliseconds.
	goneKept = 12 * 3600 * sardine.Second
	// maxGone bounds the lost targets that are listed.
	maxGone = 1000
)

// gone is a target that was known and is not any more.
type gone struct {
	row     Target
	leaving bool
	lostAt  state.WallTime // 0 while it is known
}

// remember notes the targets that are known now.
func (h *History) remember(rows []Target) {
	for _, row := range rows {
		h.targets[row.VM] = gone{row: row, leaving: row.Condition.State == "leaving"}
	}
}

// lost returns the targets that went without having said so, and forgets those
// that went long ago or had announced that they leave.
func (h *History) lost(known []Target, now state.WallTime) []Target {
	here := make(map[sardine.VMID]bool, len(known))
	for _, row := range known {
		here[row.VM] = true
	}
	var all []Target
	for vm, g := range h.targets {
		if here[vm] {
			continue
		}
		if g.lostAt == 0 {
			g.lostAt = now
			h.targets[vm] = g
		}
		if g.leaving || now-g.lostAt > state.WallTime(goneKept) {
			delete(h.targets, vm)
			continue
		}
		row := g.row
		row.Group, row.Load = "", sardine.Load{}
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Target) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return all[:min(len(all), maxGone)]
}
