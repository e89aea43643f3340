package follow

import (
	"math"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// hedgeAt returns when to ask another control node about the leader, because the main
// poll of a control node is late. A leader that has failed would otherwise cost the
// whole timeout, as control nodes name it until they elect another one.
func (f *Follower) hedgeAt() sardine.Millis {
	if f.main == nil || f.main.ask.ToRelay || f.route.alternate(f.main.ask.Address) == "" {
		return math.MaxInt64
	}
	return max(f.main.at+f.main.ask.Request.Hold+HedgeDelay, f.hedgeNext)
}

// sendHedge polls another control node for this node alone.
func (f *Follower) sendHedge(now sardine.Millis) *pendingPoll {
	f.sequence++
	f.sentAt[f.sequence] = now
	delete(f.sentAt, f.sequence-maxSent)
	f.hedgeNext = now + HedgeDelay
	address := f.route.alternate(f.main.ask.Address)
	f.route.at++
	agg := aggregate{sent: now, applied: f.reportableIndex(), included: make(map[uint64]bool)}
	return &pendingPoll{at: now, aggregate: agg, hedge: true, ask: OutgoingRequest{
		Address: address,
		Timeout: ProbeTimeout,
		Request: Request{From: f.self, Sequence: f.sequence, Applied: agg.applied, Have: f.machine.Index()},
	}}
}

// handleHedgeFault follows a control node that names another leader than the one whose
// reply is late.
func (f *Follower) handleHedgeFault(now sardine.Millis, s *pendingPoll, fault *Fault) Outcome {
	if fault.Code != codes.NotLeader || f.main == nil || fault.Leader == f.main.ask.Address {
		return Outcome{}
	}
	if fault.Leader == "" {
		f.relay.recordLeaderless(now)
		return Outcome{}
	}
	if f.route.isAvoided(now, fault.Leader) {
		return Outcome{}
	}
	repeatReports := f.abandonMain()
	f.route.redirected(now, s.ask.Address, fault.Leader)
	return Outcome{WantFull: repeatReports}
}

// abandonMain stops waiting for the main poll's reply, and reports whether this node's
// own reports in it must be repeated.
func (f *Follower) abandonMain() (repeatReports bool) {
	late := f.main
	if late == nil {
		return false
	}
	f.main = nil
	f.recordUndelivered(late)
	return len(late.ask.Request.Reports) > 0
}
