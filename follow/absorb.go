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
			f.machine = m
			f.relay.cache.reset(m.Index())
			outcome.Restored = true
		}
		return outcome, nil
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
	f.machine.Skip(r.Through)
	f.relay.cache.reach(r.Through)
	return outcome, nil
}
