package follow

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// acceptOwn applies the part of the reply that concerns the node itself: a
// refusal, a lease and the request for a full target report.
func (f *Follower) acceptOwn(now sardine.Millis, r Reply, outcome *Outcome) {
	outcome.WantFull = slices.Contains(r.WantFull, f.self.Node)
	for _, refusal := range r.Refused {
		if refusal.Ref != f.self {
			continue
		}
		outcome.Superseded = refusal.Code == codes.Superseded
		outcome.Join = !outcome.Superseded
		// A node joins through the leader. It leaves the relay to learn the leader's
		// address from a control node.
		f.route.relay = ""
		f.route.notBefore = now + MaxBackoff/2
		return
	}
	if r.Grant == nil {
		return
	}
	sent, known := f.sentAt[r.Grant.Sequence]
	if f.defect == DefectLeaseFromReply {
		sent = now
	}
	if known {
		f.leaseHolder.grant(sent, *r.Grant, f.published)
	}
}

// applyUpdates applies the snapshot and the updates of a reply to the state
// machine. It skips what does not continue the state, so that the state never
// goes back.
func (f *Follower) applyUpdates(r Reply) (Outcome, error) {
	var outcome Outcome
	have := f.machine.Index()
	if r.Through <= have {
		return outcome, nil
	}
	if len(r.Snapshot) > 0 {
		m, err := state.RestoreMachine(r.Snapshot)
		if err != nil {
			return outcome, err
		}
		if m.Index() > have {
			if err := checkVersions(f.machine, m); err != nil {
				return outcome, err
			}
			f.machine = m
			f.relay.cache.reset(m.Index())
			outcome.Restored = true
			have = m.Index()
		}
	}
	if r.After > have {
		return outcome, nil
	}
	for _, n := range r.Updates {
		if n.Index > have {
			f.machine.Apply(n.Index, n.At, n.Command)
			f.relay.cache.add(n)
			outcome.Updates = append(outcome.Updates, n)
		}
	}
	if len(outcome.Updates) > 0 {
		f.machine.DropHistory()
	}
	f.machine.Skip(r.Through)
	f.relay.cache.advanceTo(r.Through)
	return outcome, nil
}

// checkVersions checks the invariant that no team's version decreases.
func checkVersions(from, to *state.Machine) error {
	for _, name := range from.Teams() {
		before, _ := from.Current(name)
		after, _ := to.Current(name)
		if after.Version < before.Version {
			return codes.New(codes.InvariantBroken, "a snapshot at index %d lowers team %s from version %d to %d", to.Index(), name, before.Version, after.Version)
		}
	}
	return nil
}
