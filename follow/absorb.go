package follow

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// accept takes in the node's own part of the reply.
func (f *Follower) accept(now sardine.Millis, r Reply, outcome *Outcome) {
	outcome.WantFull = slices.Contains(r.WantFull, f.self.Node)
	for _, refusal := range r.Refused {
		if refusal.Ref != f.self {
			continue
		}
		outcome.Superseded = refusal.Code == codes.Superseded
		outcome.Join = !outcome.Superseded
		// It joins through the leader, so it must learn who that is.
		f.route.relay = ""
		f.route.notUntil = now + BackoffMost/2
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
		f.holder.grant(sent, *r.Grant, f.published)
	}
}

// absorb applies the news or the snapshot to the machine. Only what continues
// the state is taken, so the state never goes back.
func (f *Follower) absorb(r Reply) (Outcome, error) {
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
			if err := checkRises(f.machine, m); err != nil {
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
	for _, n := range r.News {
		if n.Index > have {
			f.machine.Apply(n.Index, n.At, n.Command)
			f.relay.cache.add(n)
			outcome.News = append(outcome.News, n)
		}
	}
	if len(outcome.News) > 0 {
		f.machine.Trim()
	}
	f.machine.Skip(r.Through)
	f.relay.cache.reach(r.Through)
	return outcome, nil
}

// checkRises is the invariant that no team's version falls.
func checkRises(from, to *state.Machine) error {
	for _, name := range from.Teams() {
		before, _ := from.Current(name)
		after, _ := to.Current(name)
		if after.Version < before.Version {
			return codes.New(codes.InvariantBroken, "a snapshot at index %d takes team %s from version %d to %d", to.Index(), name, before.Version, after.Version)
		}
	}
	return nil
}
