package lease

import (
	sardine "sardineswitch.dev/sardine"
)

// revision is a version of a team's document that an entry node may still serve.
type revision struct {
	index        uint64
	holdsChanges bool // its cut policy is hold_changes
}

// RecordRevision records an applied version of a team's document and its cut policy. A
// new leader calls it for every stored revision of every team, oldest first.
func (l *Ledger) RecordRevision(team sardine.Team, index uint64, policy sardine.CutPolicy) {
	holdsChanges := policy == sardine.CutHoldChanges
	l.revisions[team] = append(l.revisions[team], revision{index: index, holdsChanges: holdsChanges})
	l.anyHoldsChanges = l.anyHoldsChanges || holdsChanges
}

// InForceTeam is InForce for a change of a team's document at index. While a node may
// still serve an earlier version whose cut policy is hold_changes, the later end of
// each node's serving and holding leases counts instead of the end of the serving
// lease.
func (l *Ledger) InForceTeam(now sardine.Millis, team sardine.Team, index uint64) Verdict {
	holdingApplies := false
	for _, r := range l.revisions[team] {
		holdingApplies = holdingApplies || (r.holdsChanges && r.index < index)
	}
	if !holdingApplies {
		return l.dropSuperseded(team, index, l.InForce(now, index))
	}
	v := l.evaluate(now, index, l.lastEnd)
	return l.dropSuperseded(team, index, v)
}

// dropSuperseded removes the versions that no node can serve any more once the change
// at index is in force. It returns the verdict unchanged.
func (l *Ledger) dropSuperseded(team sardine.Team, index uint64, v Verdict) Verdict {
	if !v.InForce {
		return v
	}
	kept := l.revisions[team][:0]
	for _, r := range l.revisions[team] {
		if r.index >= index {
			kept = append(kept, r)
		}
	}
	l.revisions[team] = kept
	l.anyHoldsChanges = false
	for _, all := range l.revisions {
		for _, r := range all {
			l.anyHoldsChanges = l.anyHoldsChanges || r.holdsChanges
		}
	}
	return v
}
