package quota

import (
	sardine "sardineswitch.dev/sardine"
)

// Rate returns how many requests per second this node may send to a target, 0 without a
// limit.
func (t *Table) Rate(now sardine.Millis, g Target) float64 {
	e := t.entries[g]
	if e == nil || !e.restricts() {
		return 0
	}
	t.refresh(now, e)
	return e.bucket.rate
}
