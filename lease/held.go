package lease

import (
	sardine "sardineswitch.dev/sardine"
)

// revision is a version of a team's document that some node may still serve.
type revision struct {
	index uint64
	holds bool // its cut policy is hold_changes
}

// Changed takes in an applied version of a team's document and its cut policy.
// A new leader calls it for every kept revision of every team, oldest first.
func (l *Ledger) Changed(team sardine.Team, index uint64, policy sardine.CutPolicy) {
	holds := policy == sardine.CutHoldChanges
	l.holders[team] = append(l.holders[team], revision{index: index, holds: holds})
	l.anyHolds = l.anyHolds || holds
}

// InForceTeam is InForce for a change of a team's document at index. If a node
// may still serve an earlier version whose cut policy is hold_changes, that
// node's holding lease counts in place of its serving lease.
func (l *Ledger) InForceTeam(now sardine.Millis, team sardine.Team, index uint64) Verdict {
	held := false
	for _, r := range l.holders[team] {
		held = held || (r.holds && r.index < index)
	}
	if !held {
		return l.settled(team, index, l.InForce(now, index))
	}
	v := l.inForce(now, index, l.end)
	return l.settled(team, index, v)
}

// settled forgets the versions that no node can serve any more.
func (l *Ledger) settled(team sardine.Team, index uint64, v Verdict) Verdict {
	if !v.InForce {
		return v
	}
	kept := l.holders[team][:0]
	for _, r := range l.holders[team] {
		if r.index >= index {
			kept = append(kept, r)
		}
	}
	l.holders[team] = kept
	l.anyHolds = false
	for _, all := range l.holders {
		for _, r := range all {
			l.anyHolds = l.anyHolds || r.holds
		}
	}
	return v
}
